use std::{rc::Rc, time::Instant};

use bramleywind_store::Store;
use bramleywind_types::{
    BudgetId, ConfigRevision, IncarnationId, InstanceId, RequestKey, TokenCount,
};

use crate::{
    AppendOutcome, BudgetBalance, HandBackOutcome, JournalBatch, JournalLink, JournalSnapshot,
    KeeperDump, KeeperSettings, LoanOutcome, LoanRequest, LoanSettlement, PeerRecord,
    ReclaimOutcome, RegisterOutcome, Reservation, ReserveOutcome, ResolveOutcome, SealOutcome,
    SettlementOutcome, WitnessId,
};

/// One router's share of all budgets. Clones share the same state.
pub struct FundsKeeper<S, L> {
    shared: Rc<Shared<S, L>>,
}

struct Shared<S, L> {
    _store: S,
    _link: L,
}

impl<S, L> Clone for FundsKeeper<S, L> {
    fn clone(&self) -> Self {
        Self { shared: Rc::clone(&self.shared) }
    }
}

#[allow(unused_variables, reason = "the bodies follow in the next changes")]
impl<S: Store, L: JournalLink> FundsKeeper<S, L> {
    /// A keeper that knows no peers and holds nothing yet, under a new random incarnation.
    pub fn new(settings: KeeperSettings, store: S, link: L) -> Self {
        Self { shared: Rc::new(Shared { _store: store, _link: link }) }
    }

    /// The id of this process run, by which other routers name it as a witness.
    pub fn run_id(&self) -> IncarnationId {
        unimplemented!()
    }

    /// The current incarnation. It changes when this router finds that it was sealed.
    pub fn incarnation(&self) -> IncarnationId {
        unimplemented!()
    }

    /// Replaces the list of the other live routers, from which witnesses and lenders are chosen.
    pub fn set_peers(&self, peers: Vec<PeerRecord>) {
        unimplemented!()
    }

    /// Replaces the configured base credits. They are written with the next page write that needs them.
    pub fn configure(&self, revision: ConfigRevision, budgets: Vec<(BudgetId, TokenCount)>) {
        unimplemented!()
    }

    /// Does all store and peer calls of the keeper. The router spawns it once, as a task of its own; it
    /// never returns. Nothing else makes progress without it, apart from the `handle_*` methods.
    pub async fn run(&self) {
        unimplemented!()
    }

    /// Writes the member record, with up to two of the known peers as witnesses.
    pub async fn register(&self) -> RegisterOutcome {
        unimplemented!()
    }

    /// Sets tokens aside for a request. A request that the slice can pay for costs no store call.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
        deadline: Instant,
    ) -> ReserveOutcome {
        unimplemented!()
    }

    /// Bills a reservation; at most its tokens. Returns what exceeded them.
    pub fn settle(&self, reservation: Reservation, billed: TokenCount) -> TokenCount {
        unimplemented!()
    }

    /// Takes back what a reclaim counted for earlier attempts of a request that was now billed (rule B6).
    pub async fn resolve(&self, budget: &BudgetId, key: &RequestKey) -> ResolveOutcome {
        unimplemented!()
    }

    /// Starts due work and ends waits whose deadline has passed. The router calls it every 50 to 100 ms.
    pub fn maintain(&self) {
        unimplemented!()
    }

    /// Seals a dead or superseded incarnation and closes its slices.
    pub async fn reclaim(
        &self,
        instance: &InstanceId,
        incarnation: IncarnationId,
    ) -> ReclaimOutcome {
        unimplemented!()
    }

    /// Hands all slices back for a graceful stop, after the last request was settled.
    pub async fn hand_back_all(&self, deadline: Instant) -> HandBackOutcome {
        unimplemented!()
    }

    /// Answers a peer's [`JournalLink::append`].
    pub fn handle_append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        unimplemented!()
    }

    /// Answers a peer's [`JournalLink::snapshot`].
    pub fn handle_snapshot(
        &self,
        witness: &WitnessId,
        snapshot: &JournalSnapshot,
    ) -> AppendOutcome {
        unimplemented!()
    }

    /// Answers a peer's [`JournalLink::seal`].
    pub fn handle_seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        unimplemented!()
    }

    /// Answers a peer's [`JournalLink::borrow`].
    pub async fn handle_borrow(&self, request: &LoanRequest) -> LoanOutcome {
        unimplemented!()
    }

    /// Answers a peer's [`JournalLink::settle_loan`].
    pub fn handle_settle_loan(&self, settlement: &LoanSettlement) -> SettlementOutcome {
        unimplemented!()
    }

    /// A budget as of the last page read or written by this router.
    pub fn balance(&self, budget: &BudgetId) -> Option<BudgetBalance> {
        unimplemented!()
    }

    /// The state of the keeper, for the operator port.
    pub fn dump(&self) -> KeeperDump {
        unimplemented!()
    }
}
