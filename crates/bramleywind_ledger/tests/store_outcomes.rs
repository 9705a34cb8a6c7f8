//! Tests of every outcome of a store write, with one router that has no witnesses.

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

/// The fault that is injected into one write of a budget page.
#[derive(Debug, Clone, Copy)]
enum WriteFault {
    NoFault,
    Conflict,
    Rejected,
    AppliedButUnknown,
    NotAppliedButUnknown,
    /// The outcome is unknown, and the write takes effect just before the next one.
    AppliedLate,
}

type LateWrite = (StoreKey, Vec<u8>, StoreVersion);

#[derive(Clone)]
struct ScriptedStore {
    memory: MemoryStore,
    script: Rc<RefCell<VecDeque<WriteFault>>>,
    late_write: Rc<RefCell<Option<LateWrite>>>,
}

impl Store for ScriptedStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        self.memory.read(key).await
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        let late_write = self.late_write.take();
        if let Some((key, value, expected)) = late_write {
            self.memory.write(&key, value, expected).await;
        }
        let is_page = key.as_str().starts_with(StoreKey::BUDGETS);
        let fault = if is_page { self.script.borrow_mut().pop_front() } else { None };
        match fault {
            None | Some(WriteFault::NoFault) => self.memory.write(key, value, expected).await,
            Some(WriteFault::Conflict) => {
                let current = self
                    .memory
                    .peek(key)
                    .map_or_else(|| BudgetPage::default().to_bytes(), |found| found.value);
                self.memory.put(key, current);
                self.memory.write(key, value, expected).await
            }
            Some(WriteFault::Rejected) => WriteOutcome::NotApplied(NotAppliedReason::RateLimited),
            Some(WriteFault::AppliedButUnknown) => {
                self.memory.write(key, value, expected).await;
                WriteOutcome::Unknown
            }
            Some(WriteFault::NotAppliedButUnknown) => WriteOutcome::Unknown,
            Some(WriteFault::AppliedLate) => {
                self.late_write.replace(Some((key.clone(), value, expected)));
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

/// The link of a router without peers.
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

type Ledger = TokenLedger<ScriptedStore, NoPeers>;

fn budget() -> BudgetId {
    "ferries".parse().unwrap()
}

async fn start_ledger(script: &[WriteFault]) -> (Ledger, ScriptedStore) {
    start_ledger_with_clock(script, LedgerClock::System).await
}

async fn start_ledger_with_clock(
    script: &[WriteFault],
    clock: LedgerClock,
) -> (Ledger, ScriptedStore) {
    let store = ScriptedStore {
        memory: MemoryStore::new(),
        script: Rc::new(RefCell::new(script.iter().copied().collect())),
        late_write: Rc::default(),
    };
    let settings = LedgerSettings {
        instance: "akl-a-1".parse().unwrap(),
        data_centre: "akl-a".parse().unwrap(),
        clock,
        grants: GrantPolicy::PageHomes,
    };
    let ledger = TokenLedger::with_seed(settings, store.clone(), NoPeers, 1);
    ledger.configure(ConfigRevision(1), vec![(budget(), TokenCount(100))]);
    let (runner, ticker) = (ledger.clone(), ledger.clone());
    compio::runtime::spawn(async move { runner.run().await }).detach();
    compio::runtime::spawn(async move {
        loop {
            compio::time::sleep(Duration::from_millis(10)).await;
            ticker.maintain();
        }
    })
    .detach();
    assert_eq!(ledger.register().await, RegisterOutcome::Registered { witnesses: 0 });
    (ledger, store)
}

async fn reserve(ledger: &Ledger, tokens: u64) -> ReserveOutcome {
    let deadline = Instant::now() + Duration::from_secs(2);
    ledger.reserve(&budget(), TokenCount(tokens), None, deadline).await
}

fn granted(store: &ScriptedStore) -> TokenCount {
    let found = store.memory.peek(&StoreKey::budget_page(&budget())).unwrap();
    BudgetPage::from_bytes(&found.value).unwrap().budgets[&budget()].granted()
}

/// Guards against a grant that is applied twice, used before it is durable, or lost because the store's answer
/// was lost.
#[test_case(&[] ; "applied")]
#[test_case(&[WriteFault::Conflict] ; "conflict")]
#[test_case(&[WriteFault::AppliedButUnknown] ; "applied, answer lost")]
#[test_case(&[WriteFault::NotAppliedButUnknown] ; "not applied, answer lost")]
#[test_case(&[WriteFault::AppliedLate] ; "applied late")]
#[test_case(&[WriteFault::AppliedLate, WriteFault::AppliedButUnknown] ; "applied late, then answer lost")]
#[test_case(&[WriteFault::AppliedButUnknown, WriteFault::Conflict] ; "answer lost, then conflict")]
fn a_grant_is_applied_once(script: &[WriteFault]) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (ledger, store) = start_ledger(script).await;
        let ReserveOutcome::Reserved(reservation) = reserve(&ledger, 30).await else {
            panic!("the pool should cover the reservation");
        };
        assert_eq!(granted(&store), TokenCount(30));
        assert_eq!(ledger.settle(reservation, TokenCount(40)), TokenCount(10));
        let deadline = Instant::now() + Duration::from_secs(2);
        assert_eq!(ledger.hand_back_all(deadline).await, HandBackOutcome::Done);
        assert_eq!(granted(&store), TokenCount(0));
        let balance = ledger.balance(&budget()).unwrap();
        assert_eq!((balance.settled, balance.pool), (TokenCount(30), TokenCount(70)));
    });
}

/// Guards against reporting a budget as exhausted when the store did not answer, and against a failed write
/// that is never retried.
#[test]
fn a_rejected_write_is_reported_as_unavailable_and_retried() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (ledger, store) = start_ledger(&[WriteFault::Rejected]).await;
        let unavailable = ReserveOutcome::Unavailable(UnavailableCause::StoreUnavailable);
        assert_eq!(reserve(&ledger, 30).await, unavailable);
        compio::time::sleep(Duration::from_millis(60)).await;
        assert!(matches!(reserve(&ledger, 30).await, ReserveOutcome::Reserved(_)));
        assert_eq!(granted(&store), TokenCount(30));
        assert_eq!(reserve(&ledger, 71).await, ReserveOutcome::Exhausted);
        let faults = StoreFaults { outage: true, ..StoreFaults::default() };
        store.memory.set_faults(faults);
        assert_eq!(reserve(&ledger, 71).await, unavailable);
    });
}

/// Guards against a store write for a request that the slice already covers, and against one write for each
/// of many concurrent requests.
#[test]
fn concurrent_requests_share_one_write() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (ledger, store) = start_ledger(&[]).await;
        let before = store.memory.counters().writes;
        let requests = (0..10).map(|_| reserve(&ledger, 5));
        let outcomes = futures_util::future::join_all(requests).await;
        let is_reserved = |outcome: &ReserveOutcome| matches!(outcome, ReserveOutcome::Reserved(_));
        assert!(outcomes.iter().all(is_reserved));
        assert_eq!(store.memory.counters().writes - before, 1);
        for outcome in outcomes {
            let ReserveOutcome::Reserved(reservation) = outcome else { continue };
            ledger.settle(reservation, TokenCount(0));
        }
        assert!(is_reserved(&reserve(&ledger, 50).await));
        assert_eq!(store.memory.counters().writes - before, 1);
    });
}

/// Guards against a stale read that shows a grant as it was before its surplus was returned.
#[test]
fn a_stale_read_does_not_restore_a_returned_grant() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let clock = LedgerClock::manual();
        let (ledger, store) = start_ledger_with_clock(&[], clock.clone()).await;
        let ReserveOutcome::Reserved(reservation) = reserve(&ledger, 30).await else {
            panic!("the pool should cover the reservation");
        };
        ledger.settle(reservation, TokenCount(0));
        clock.advance(Duration::from_secs(11));
        while granted(&store) > TokenCount(0) {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        let faults = StoreFaults { stale_reads: true, ..StoreFaults::default() };
        store.memory.set_faults(faults);
        let unavailable = ReserveOutcome::Unavailable(UnavailableCause::StoreUnavailable);
        let deadline = clock.now() + Duration::from_secs(2);
        assert_eq!(ledger.reserve(&budget(), TokenCount(200), None, deadline).await, unavailable);
        assert_eq!(ledger.balance(&budget()).unwrap().slice_available, TokenCount(0));
    });
}

/// Guards against spending tokens whose return to the pool has an unknown outcome and may still take effect.
#[test]
fn a_return_with_unknown_outcome_limits_the_holder() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let clock = LedgerClock::manual();
        let mut script = vec![WriteFault::NoFault, WriteFault::AppliedLate];
        script.extend([WriteFault::Rejected; 3]);
        let (ledger, store) = start_ledger_with_clock(&script, clock.clone()).await;
        let ReserveOutcome::Reserved(reservation) = reserve(&ledger, 30).await else {
            panic!("the pool should cover the reservation");
        };
        ledger.settle(reservation, TokenCount(0));
        clock.advance(Duration::from_secs(11));
        while store.script.borrow().len() > 2 {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        let unavailable = ReserveOutcome::Unavailable(UnavailableCause::StoreUnavailable);
        let deadline = clock.now() + Duration::from_secs(2);
        assert_eq!(ledger.reserve(&budget(), TokenCount(10), None, deadline).await, unavailable);
        assert_eq!(ledger.balance(&budget()).unwrap().slice_available, TokenCount(0));
    });
}
