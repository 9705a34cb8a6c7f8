//! The simulated network: the routers' store and peer links, with the delays of the current deployments.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalLink, JournalSnapshot, LoanOutcome, LoanRequest,
    LoanSettlement, SealOutcome, SettlementOutcome, TokenLedger, WitnessId,
};
use bramleywind_store::{
    Lease, LeaseOutcome, ListOutcome, MemoryStore, NotAppliedReason, ReadOutcome, RenewOutcome,
    Store, StoreKey, StoreVersion, UnavailableReason, WatchOutcome, WriteOutcome,
};
use bramleywind_types::{IncarnationId, InstanceId};

use crate::virtual_time::VirtualRuntime;
use crate::workload::ROUTERS;

/// The token ledger of a simulated router.
pub type SimLedger = TokenLedger<SimStore, SimLink>;

/// The one-way delay of every message: that between data centres, and between a router and the store.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);
/// How long a router waits for a peer's answer before it considers the peer unreachable.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The state that the simulated routers share, with the faults that are in effect.
pub struct Network {
    pub runtime: VirtualRuntime,
    pub memory: MemoryStore,
    pub store_down: Cell<bool>,
    pub partitioned: [Cell<bool>; ROUTERS],
    pub killed: [Cell<bool>; ROUTERS],
    pub paused: [Cell<bool>; ROUTERS],
    pub ledgers: RefCell<Vec<SimLedger>>,
}

impl Network {
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            runtime: VirtualRuntime::new(),
            memory: MemoryStore::new(),
            store_down: Cell::new(false),
            partitioned: Default::default(),
            killed: Default::default(),
            paused: Default::default(),
            ledgers: RefCell::default(),
        })
    }

    /// Reports whether a router is neither killed nor paused.
    pub fn is_running(&self, router: usize) -> bool {
        !self.killed[router].get() && !self.paused[router].get()
    }

    /// Reports whether messages from one router reach another. A paused router still receives messages, but does not
    /// answer them.
    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        !self.killed[to].get() && self.partitioned[from].get() == self.partitioned[to].get()
    }
}

/// The connection of one router to the shared in-memory store.
#[derive(Clone)]
pub struct SimStore {
    pub router: usize,
    pub network: Rc<Network>,
}

impl SimStore {
    /// Waits for the one-way delay to the store. Returns whether the store answers.
    async fn reach_store(&self) -> bool {
        self.network.runtime.sleep(ONE_WAY_DELAY).await;
        !self.network.store_down.get() && !self.network.partitioned[self.router].get()
    }
}

impl Store for SimStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        if !self.reach_store().await {
            return ReadOutcome::Unavailable(UnavailableReason::Outage);
        }
        let outcome = self.network.memory.read(key).await;
        self.network.runtime.sleep(ONE_WAY_DELAY).await;
        outcome
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        if !self.reach_store().await {
            return WriteOutcome::NotApplied(NotAppliedReason::Outage);
        }
        let outcome = self.network.memory.write(key, value, expected).await;
        self.network.runtime.sleep(ONE_WAY_DELAY).await;
        outcome
    }

    async fn watch(&self, _: &StoreKey, _: StoreVersion, _: Instant) -> WatchOutcome {
        WatchOutcome::Unchanged
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        if !self.reach_store().await {
            return ListOutcome::Unavailable(UnavailableReason::Outage);
        }
        let outcome = self.network.memory.list(prefix).await;
        self.network.runtime.sleep(ONE_WAY_DELAY).await;
        outcome
    }

    async fn acquire_lease(&self, _: &StoreKey, _: &str, _: Duration) -> LeaseOutcome {
        LeaseOutcome::Held
    }

    async fn renew_lease(&self, _: &Lease, _: Duration) -> RenewOutcome {
        RenewOutcome::Lost
    }

    async fn release_lease(&self, _: Lease) {}
}

/// The links of one router to its peers.
#[derive(Clone)]
pub struct SimLink {
    pub router: usize,
    pub network: Rc<Network>,
}

/// Returns the instance id of a router.
pub fn instance_id(router: usize) -> InstanceId {
    format!("router-{router}").parse().expect("the name is a valid identifier")
}

impl SimLink {
    /// Runs `handler` on the target router's ledger. Returns `None` if the target cannot be reached or does not answer
    /// in time.
    async fn call<T: 'static, F: Future<Output = T> + 'static>(
        &self,
        target: &InstanceId,
        handler: impl FnOnce(SimLedger) -> F + 'static,
    ) -> Option<T> {
        let to: usize = target.as_str().trim_start_matches("router-").parse().ok()?;
        let runtime = &self.network.runtime;
        if !self.network.is_connected(self.router, to) {
            runtime.sleep(CALL_TIMEOUT).await;
            return None;
        }
        runtime.sleep(ONE_WAY_DELAY).await;
        let ledger = self.network.ledgers.borrow()[to].clone();
        let answer = runtime.call(to, CALL_TIMEOUT, handler(ledger)).await;
        runtime.sleep(ONE_WAY_DELAY).await;
        answer.filter(|_| self.network.is_connected(self.router, to))
    }
}

impl JournalLink for SimLink {
    async fn append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        let (id, batch) = (witness.clone(), batch.clone());
        let answer =
            self.call(&witness.instance, |ledger| async move { ledger.handle_append(&id, &batch) });
        answer.await.unwrap_or(AppendOutcome::Unreachable)
    }

    async fn snapshot(&self, witness: &WitnessId, snapshot: &JournalSnapshot) -> AppendOutcome {
        let (id, snapshot) = (witness.clone(), snapshot.clone());
        let answer =
            self.call(
                &witness.instance,
                |ledger| async move { ledger.handle_snapshot(&id, &snapshot) },
            );
        answer.await.unwrap_or(AppendOutcome::Unreachable)
    }

    async fn seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        let id = witness.clone();
        let answer = self.call(&witness.instance, move |ledger| async move {
            ledger.handle_seal(&id, incarnation)
        });
        answer.await.unwrap_or(SealOutcome::Unreachable)
    }

    async fn borrow(&self, lender: &InstanceId, request: &LoanRequest) -> LoanOutcome {
        let request = request.clone();
        let answer =
            self.call(lender, |ledger| async move { ledger.handle_borrow(&request).await });
        answer.await.unwrap_or(LoanOutcome::Unreachable)
    }

    async fn settle_loan(
        &self,
        lender: &InstanceId,
        settlement: &LoanSettlement,
    ) -> SettlementOutcome {
        let settlement = settlement.clone();
        let answer =
            self.call(lender, |ledger| async move { ledger.handle_settle_loan(&settlement) });
        answer.await.unwrap_or(SettlementOutcome::Unreachable)
    }
}
