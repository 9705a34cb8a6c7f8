//! The store and the links of the simulated fleet, with the delays of the current deployments.

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

pub type Keeper = TokenLedger<SimStore, SimLink>;

/// One way between data centres, and to the store.
const ONE_WAY: Duration = Duration::from_micros(1_500);
/// After this time a peer's answer is given up.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// What is broken at the moment.
pub struct Network {
    pub runtime: VirtualRuntime,
    pub memory: MemoryStore,
    pub outage: Cell<bool>,
    pub cut: [Cell<bool>; ROUTERS],
    pub dead: [Cell<bool>; ROUTERS],
    pub paused: [Cell<bool>; ROUTERS],
    pub keepers: RefCell<Vec<Keeper>>,
}

impl Network {
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            runtime: VirtualRuntime::new(),
            memory: MemoryStore::new(),
            outage: Cell::new(false),
            cut: Default::default(),
            dead: Default::default(),
            paused: Default::default(),
            keepers: RefCell::default(),
        })
    }

    pub fn is_running(&self, router: usize) -> bool {
        !self.dead[router].get() && !self.paused[router].get()
    }

    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        !self.dead[to].get() && self.cut[from].get() == self.cut[to].get()
    }
}

#[derive(Clone)]
pub struct SimStore {
    pub router: usize,
    pub network: Rc<Network>,
}

impl SimStore {
    /// Travels to the store; returns whether it answers.
    async fn reach(&self) -> bool {
        self.network.runtime.sleep(ONE_WAY).await;
        !self.network.outage.get() && !self.network.cut[self.router].get()
    }
}

impl Store for SimStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        if !self.reach().await {
            return ReadOutcome::Unavailable(UnavailableReason::Outage);
        }
        let outcome = self.network.memory.read(key).await;
        self.network.runtime.sleep(ONE_WAY).await;
        outcome
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        if !self.reach().await {
            return WriteOutcome::NotApplied(NotAppliedReason::Outage);
        }
        let outcome = self.network.memory.write(key, value, expected).await;
        self.network.runtime.sleep(ONE_WAY).await;
        outcome
    }

    async fn watch(&self, _: &StoreKey, _: StoreVersion, _: Instant) -> WatchOutcome {
        WatchOutcome::Unchanged
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        if !self.reach().await {
            return ListOutcome::Unavailable(UnavailableReason::Outage);
        }
        let outcome = self.network.memory.list(prefix).await;
        self.network.runtime.sleep(ONE_WAY).await;
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

#[derive(Clone)]
pub struct SimLink {
    pub router: usize,
    pub network: Rc<Network>,
}

pub fn instance(router: usize) -> InstanceId {
    format!("router-{router}").parse().expect("the name keeps the rules of identifiers")
}

impl SimLink {
    async fn call<T: 'static, F: Future<Output = T> + 'static>(
        &self,
        target: &InstanceId,
        handle: impl FnOnce(Keeper) -> F + 'static,
    ) -> Option<T> {
        let to: usize = target.as_str().trim_start_matches("router-").parse().ok()?;
        let runtime = &self.network.runtime;
        if !self.network.is_connected(self.router, to) {
            runtime.sleep(CALL_LIMIT).await;
            return None;
        }
        runtime.sleep(ONE_WAY).await;
        let keeper = self.network.keepers.borrow()[to].clone();
        let answer = runtime.call(to, CALL_LIMIT, handle(keeper)).await;
        runtime.sleep(ONE_WAY).await;
        answer.filter(|_| self.network.is_connected(self.router, to))
    }
}

impl JournalLink for SimLink {
    async fn append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        let (id, batch) = (witness.clone(), batch.clone());
        let answer =
            self.call(&witness.instance, |keeper| async move { keeper.handle_append(&id, &batch) });
        answer.await.unwrap_or(AppendOutcome::Unreachable)
    }

    async fn snapshot(&self, witness: &WitnessId, snapshot: &JournalSnapshot) -> AppendOutcome {
        let (id, snapshot) = (witness.clone(), snapshot.clone());
        let answer =
            self.call(
                &witness.instance,
                |keeper| async move { keeper.handle_snapshot(&id, &snapshot) },
            );
        answer.await.unwrap_or(AppendOutcome::Unreachable)
    }

    async fn seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        let id = witness.clone();
        let answer = self.call(&witness.instance, move |keeper| async move {
            keeper.handle_seal(&id, incarnation)
        });
        answer.await.unwrap_or(SealOutcome::Unreachable)
    }

    async fn borrow(&self, lender: &InstanceId, request: &LoanRequest) -> LoanOutcome {
        let request = request.clone();
        let answer =
            self.call(lender, |keeper| async move { keeper.handle_borrow(&request).await });
        answer.await.unwrap_or(LoanOutcome::Unreachable)
    }

    async fn settle_loan(
        &self,
        lender: &InstanceId,
        settlement: &LoanSettlement,
    ) -> SettlementOutcome {
        let settlement = settlement.clone();
        let answer =
            self.call(lender, |keeper| async move { keeper.handle_settle_loan(&settlement) });
        answer.await.unwrap_or(SettlementOutcome::Unreachable)
    }
}
