//! Every outcome of the store's write, for one router without witnesses.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_ledger::{
    AppendOutcome, BudgetPage, GrantPolicy, HandBackOutcome, JournalBatch, JournalLink,
    JournalSnapshot, LedgerClock, LedgerSettings, LoanOutcome, LoanRequest, LoanSettlement,
    RegisterOutcome, ReserveOutcome, SealOutcome, SettlementOutcome, TokenLedger, UnavailableCause,
    WitnessId,
};
use bramleywind_store::{
    Lease, LeaseOutcome, ListOutcome, MemoryStore, NotAppliedReason, ReadOutcome, RenewOutcome,
    Store, StoreFaults, StoreKey, StoreVersion, WatchOutcome, WriteOutcome,
};
use bramleywind_types::{BudgetId, ConfigRevision, IncarnationId, InstanceId, TokenCount};
use test_case::test_case;

/// What happens to one write of a budget page.
#[derive(Debug, Clone, Copy)]
enum WriteFault {
    Nothing,
    LostRace,
    Refused,
    AppliedButUnknown,
    NotAppliedButUnknown,
    /// Takes effect just before the next write.
    AppliedLate,
}

type LateWrite = (StoreKey, Vec<u8>, StoreVersion);

#[derive(Clone)]
struct ScriptedStore {
    memory: MemoryStore,
    script: Rc<RefCell<VecDeque<WriteFault>>>,
    late: Rc<RefCell<Option<LateWrite>>>,
}

impl Store for ScriptedStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        self.memory.read(key).await
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        let late = self.late.take();
        if let Some((key, value, expected)) = late {
            self.memory.write(&key, value, expected).await;
        }
        let is_page = key.as_str().starts_with(StoreKey::BUDGETS);
        let fault = if is_page { self.script.borrow_mut().pop_front() } else { None };
        match fault {
            None | Some(WriteFault::Nothing) => self.memory.write(key, value, expected).await,
            Some(WriteFault::LostRace) => {
                let current = self
                    .memory
                    .peek(key)
                    .map_or_else(|| BudgetPage::default().to_bytes(), |found| found.value);
                self.memory.put(key, current);
                self.memory.write(key, value, expected).await
            }
            Some(WriteFault::Refused) => WriteOutcome::NotApplied(NotAppliedReason::RateLimited),
            Some(WriteFault::AppliedButUnknown) => {
                self.memory.write(key, value, expected).await;
                WriteOutcome::Unknown
            }
            Some(WriteFault::NotAppliedButUnknown) => WriteOutcome::Unknown,
            Some(WriteFault::AppliedLate) => {
                self.late.replace(Some((key.clone(), value, expected)));
                WriteOutcome::Unknown
            }
        }
    }

    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome {
        self.memory.watch(key, after, deadline).await
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        self.memory.list(prefix).await
    }

    async fn acquire_lease(&self, key: &StoreKey, holder: &str, time: Duration) -> LeaseOutcome {
        self.memory.acquire_lease(key, holder, time).await
    }

    async fn renew_lease(&self, lease: &Lease, time: Duration) -> RenewOutcome {
        self.memory.renew_lease(lease, time).await
    }

    async fn release_lease(&self, lease: Lease) {
        self.memory.release_lease(lease).await;
    }
}

/// A router that is alone.
struct NoPeers;

impl JournalLink for NoPeers {
    async fn append(&self, _: &WitnessId, _: &JournalBatch) -> AppendOutcome {
        AppendOutcome::Unreachable
    }

    async fn snapshot(&self, _: &WitnessId, _: &JournalSnapshot) -> AppendOutcome {
        AppendOutcome::Unreachable
    }

    async fn seal(&self, _: &WitnessId, _: IncarnationId) -> SealOutcome {
        SealOutcome::Unreachable
    }

    async fn borrow(&self, _: &InstanceId, _: &LoanRequest) -> LoanOutcome {
        LoanOutcome::Unreachable
    }

    async fn settle_loan(&self, _: &InstanceId, _: &LoanSettlement) -> SettlementOutcome {
        SettlementOutcome::Unreachable
    }
}

type Keeper = TokenLedger<ScriptedStore, NoPeers>;

fn budget() -> BudgetId {
    "ferries".parse().unwrap()
}

async fn keeper(script: &[WriteFault]) -> (Keeper, ScriptedStore) {
    keeper_with_clock(script, LedgerClock::System).await
}

async fn keeper_with_clock(script: &[WriteFault], clock: LedgerClock) -> (Keeper, ScriptedStore) {
    let store = ScriptedStore {
        memory: MemoryStore::new(),
        script: Rc::new(RefCell::new(script.iter().copied().collect())),
        late: Rc::default(),
    };
    let settings = LedgerSettings {
        instance: "akl-a-1".parse().unwrap(),
        data_centre: "akl-a".parse().unwrap(),
        clock,
        grants: GrantPolicy::PageHomes,
    };
    let keeper = TokenLedger::with_seed(settings, store.clone(), NoPeers, 1);
    keeper.configure(ConfigRevision(1), vec![(budget(), TokenCount(100))]);
    let (runner, ticker) = (keeper.clone(), keeper.clone());
    compio::runtime::spawn(async move { runner.run().await }).detach();
    compio::runtime::spawn(async move {
        loop {
            compio::time::sleep(Duration::from_millis(10)).await;
            ticker.maintain();
        }
    })
    .detach();
    assert_eq!(keeper.register().await, RegisterOutcome::Registered { witnesses: 0 });
    (keeper, store)
}

async fn reserve(keeper: &Keeper, tokens: u64) -> ReserveOutcome {
    let deadline = Instant::now() + Duration::from_secs(2);
    keeper.reserve(&budget(), TokenCount(tokens), None, deadline).await
}

fn granted(store: &ScriptedStore) -> TokenCount {
    let found = store.memory.peek(&StoreKey::budget_page(&budget())).unwrap();
    BudgetPage::from_bytes(&found.value).unwrap().budgets[&budget()].granted()
}

/// Guards against a grant that is taken twice, used before it is durable, or lost with the answer.
#[test_case(&[] ; "applied")]
#[test_case(&[WriteFault::LostRace] ; "lost race")]
#[test_case(&[WriteFault::AppliedButUnknown] ; "applied, answer lost")]
#[test_case(&[WriteFault::NotAppliedButUnknown] ; "write lost")]
#[test_case(&[WriteFault::AppliedLate] ; "applied late")]
#[test_case(&[WriteFault::AppliedLate, WriteFault::AppliedButUnknown] ; "late, then answer lost")]
#[test_case(&[WriteFault::AppliedButUnknown, WriteFault::LostRace] ; "answer lost, then race lost")]
fn a_grant_is_taken_once(script: &[WriteFault]) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (keeper, store) = keeper(script).await;
        let ReserveOutcome::Reserved(reservation) = reserve(&keeper, 30).await else {
            panic!("the pool has enough");
        };
        assert_eq!(granted(&store), TokenCount(30));
        assert_eq!(keeper.settle(reservation, TokenCount(40)), TokenCount(10));
        let deadline = Instant::now() + Duration::from_secs(2);
        assert_eq!(keeper.hand_back_all(deadline).await, HandBackOutcome::Done);
        assert_eq!(granted(&store), TokenCount(0));
        let balance = keeper.balance(&budget()).unwrap();
        assert_eq!((balance.settled, balance.pool), (TokenCount(30), TokenCount(70)));
    });
}

/// Guards against a refusal that calls a budget exhausted when the store did not answer, and against one
/// that never ends.
#[test]
fn a_refused_write_is_reported_truthfully_and_retried() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (keeper, store) = keeper(&[WriteFault::Refused]).await;
        let unavailable = ReserveOutcome::Unavailable(UnavailableCause::StoreUnavailable);
        assert_eq!(reserve(&keeper, 30).await, unavailable);
        compio::time::sleep(Duration::from_millis(60)).await;
        assert!(matches!(reserve(&keeper, 30).await, ReserveOutcome::Reserved(_)));
        assert_eq!(granted(&store), TokenCount(30));
        assert_eq!(reserve(&keeper, 71).await, ReserveOutcome::Exhausted);
        let faults = StoreFaults { outage: true, ..StoreFaults::default() };
        store.memory.set_faults(faults);
        assert_eq!(reserve(&keeper, 71).await, unavailable);
    });
}

/// Guards against a store write for a request that the slice can pay for, and for each of many requests
/// that wait at the same time.
#[test]
fn concurrent_needs_share_one_write() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (keeper, store) = keeper(&[]).await;
        let before = store.memory.counters().writes;
        let requests = (0..10).map(|_| reserve(&keeper, 5));
        let outcomes = futures_util::future::join_all(requests).await;
        let is_reserved = |outcome: &ReserveOutcome| matches!(outcome, ReserveOutcome::Reserved(_));
        assert!(outcomes.iter().all(is_reserved));
        assert_eq!(store.memory.counters().writes - before, 1);
        for outcome in outcomes {
            let ReserveOutcome::Reserved(reservation) = outcome else { continue };
            keeper.settle(reservation, TokenCount(0));
        }
        assert!(is_reserved(&reserve(&keeper, 50).await));
        assert_eq!(store.memory.counters().writes - before, 1);
    });
}

/// Guards against a stale read that shows a grant from before it was handed back.
#[test]
fn a_stale_read_gives_nothing_back_to_the_slice() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let clock = LedgerClock::manual();
        let (keeper, store) = keeper_with_clock(&[], clock.clone()).await;
        let ReserveOutcome::Reserved(reservation) = reserve(&keeper, 30).await else {
            panic!("the pool has enough");
        };
        keeper.settle(reservation, TokenCount(0));
        clock.advance(Duration::from_secs(11));
        while granted(&store) > TokenCount(0) {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        let faults = StoreFaults { stale_reads: true, ..StoreFaults::default() };
        store.memory.set_faults(faults);
        let unavailable = ReserveOutcome::Unavailable(UnavailableCause::StoreUnavailable);
        let deadline = clock.now() + Duration::from_secs(2);
        assert_eq!(keeper.reserve(&budget(), TokenCount(200), None, deadline).await, unavailable);
        assert_eq!(keeper.balance(&budget()).unwrap().slice_available, TokenCount(0));
    });
}

/// Guards against spending what a hand-back of unknown fate may still take away.
#[test]
fn a_hand_back_in_doubt_binds_the_holder() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let clock = LedgerClock::manual();
        let mut script = vec![WriteFault::Nothing, WriteFault::AppliedLate];
        script.extend([WriteFault::Refused; 3]);
        let (keeper, store) = keeper_with_clock(&script, clock.clone()).await;
        let ReserveOutcome::Reserved(reservation) = reserve(&keeper, 30).await else {
            panic!("the pool has enough");
        };
        keeper.settle(reservation, TokenCount(0));
        clock.advance(Duration::from_secs(11));
        while store.script.borrow().len() > 2 {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        let unavailable = ReserveOutcome::Unavailable(UnavailableCause::StoreUnavailable);
        let deadline = clock.now() + Duration::from_secs(2);
        assert_eq!(keeper.reserve(&budget(), TokenCount(10), None, deadline).await, unavailable);
        assert_eq!(keeper.balance(&budget()).unwrap().slice_available, TokenCount(0));
    });
}
