//! One router's share of all budgets. The work is divided by what it talks to: pages, witnesses, the member
//! record, lenders.

mod journal_work;
mod keeper_core;
mod keeper_state;
mod loan_work;
mod membership_state;
mod membership_work;
mod page_state;
mod page_work;
mod pending_shares;
mod reclaim_task;
mod reclaim_work;
mod reserving;

use std::{
    cell::{RefCell, RefMut},
    future::poll_fn,
    rc::Rc,
    task::Poll,
    time::Instant,
};

use bramleywind_store::{Store, StoreKey};
use bramleywind_types::{
    BudgetId, ConfigRevision, IncarnationId, InstanceId, RequestKey, TokenCount,
};
use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use keeper_core::KeeperCore;
use keeper_state::KeeperState;
use page_state::{DemandAnswer, KeyResolve};
use rand::{SeedableRng, rngs::StdRng};
use reclaim_task::ReclaimTask;

use crate::{
    AppendOutcome, BudgetBalance, HandBackOutcome, JournalBatch, JournalLink, JournalSnapshot,
    KeeperDump, KeeperSettings, LoanOutcome, LoanRequest, LoanSettlement, PeerRecord,
    ReclaimObstacle, ReclaimOutcome, RegisterOutcome, Reservation, ReserveOutcome, ResolveOutcome,
    SealOutcome, SettlementOutcome, WitnessId, signal::Signal,
};

/// One router's share of all budgets. Clones share the same state.
///
/// The router spawns [`FundsKeeper::run`] once and calls [`FundsKeeper::maintain`] every 50 to 100 ms; all
/// store and peer calls are made by `run`, so a caller that goes away cancels no write half way.
///
/// Why bills can't exceed the credit:
///
/// 1. A page is only ever changed so that closed spending plus all grants stays within the credit, or does
///    not grow ([`crate::BudgetRecord::grant`] takes from the pool only).
/// 2. A holder commits (bills and open reservations) at most what it knows to be granted for good. It
///    raises its bound only by a page that no write of its own in doubt can still replace, and lowers it
///    before it sends a write that lowers the grant.
/// 3. A reservation is used only after a witness of each member record that may be in force has
///    acknowledged it. A slice is closed only after all witnesses of a final member record were sealed, or
///    by the holder itself after it gave the incarnation up. So what is counted at the close contains all
///    reservations that were used, whatever was paused, cut off or lost meanwhile.
/// 4. What was counted goes back only by removing the entry of the reservation in the same write, once.
pub struct FundsKeeper<S, L> {
    core: Rc<KeeperCore>,
    shared: Rc<SharedLinks<S, L>>,
}

struct SharedLinks<S, L> {
    store: S,
    link: L,
}

impl<S, L> Clone for FundsKeeper<S, L> {
    fn clone(&self) -> Self {
        Self { core: Rc::clone(&self.core), shared: Rc::clone(&self.shared) }
    }
}

impl<S: Store, L: JournalLink> FundsKeeper<S, L> {
    /// A keeper that knows no peers and holds nothing yet, under a new random incarnation.
    pub fn new(settings: KeeperSettings, store: S, link: L) -> Self {
        Self::with_seed(settings, store, link, rand::random())
    }

    /// A keeper whose ids and delays follow from a seed, for tests and simulations that must repeat.
    pub fn with_seed(settings: KeeperSettings, store: S, link: L, seed: u64) -> Self {
        let core = KeeperCore {
            state: RefCell::new(KeeperState::new(settings, StdRng::seed_from_u64(seed))),
            work: Signal::default(),
            changed: Signal::default(),
        };
        Self { core: Rc::new(core), shared: Rc::new(SharedLinks { store, link }) }
    }

    fn state(&self) -> RefMut<'_, KeeperState> {
        self.core.state.borrow_mut()
    }

    fn notify_all(&self) {
        self.core.work.notify();
        self.core.changed.notify();
    }

    /// The id of this process run, by which other routers name it as a witness.
    pub fn run_id(&self) -> IncarnationId {
        self.state().run
    }

    /// The current incarnation. It changes when this router finds that it was sealed.
    pub fn incarnation(&self) -> IncarnationId {
        self.state().incarnation
    }

    /// Replaces the list of the other live routers, from which witnesses and lenders are chosen.
    pub fn set_peers(&self, peers: Vec<PeerRecord>) {
        let mut state = self.state();
        state.peers = peers;
        state.check_membership();
        drop(state);
        self.core.work.notify();
    }

    /// Replaces the configured base credits, unless they are older than the known ones. They are written
    /// with the next page write that needs them.
    pub fn configure(&self, revision: ConfigRevision, budgets: Vec<(BudgetId, TokenCount)>) {
        let mut state = self.state();
        if revision >= state.revision {
            state.revision = revision;
            state.configured = budgets.into_iter().collect();
        }
    }

    /// Does all store and peer calls of the keeper. The router spawns it once, as a task of its own; it
    /// never returns. Nothing else makes progress without it, apart from the `handle_*` methods.
    pub async fn run(&self) {
        let mut jobs: FuturesUnordered<LocalBoxFuture<'_, ()>> = FuturesUnordered::new();
        loop {
            let generation = self.core.work.generation();
            jobs.extend(self.take_due_jobs());
            let listener = self.core.work.listen(generation);
            poll_fn(|context| {
                let mut progress = listener.poll_changed(context);
                while let Poll::Ready(Some(())) = jobs.poll_next_unpin(context) {
                    progress = Poll::Ready(());
                }
                progress
            })
            .await;
        }
    }

    fn take_due_jobs(&self) -> Vec<LocalBoxFuture<'_, ()>> {
        let mut state = self.state();
        let mut jobs: Vec<LocalBoxFuture<'_, ()>> = Vec::new();
        if state.take_due_membership() {
            jobs.push(Box::pin(self.membership_round()));
        }
        for witness in state.take_due_witnesses() {
            jobs.push(Box::pin(self.send_journal(witness)));
        }
        let waits_for_answer = state.demands.values().any(|demand| demand.answer.is_none());
        for key in state.take_due_pages() {
            jobs.push(Box::pin(self.page_round(key)));
        }
        for incarnation in state.take_due_reclaims() {
            jobs.push(Box::pin(self.reclaim_round(incarnation)));
        }
        let messages = state.take_due_messages();
        if !messages.is_empty() {
            jobs.push(Box::pin(self.loan_message_round(messages)));
        }
        drop(state);
        if waits_for_answer {
            // Requests whose page is not to be tried yet were answered above.
            self.core.changed.notify();
        }
        jobs
    }

    /// Writes the member record, with up to two of the known peers as witnesses. Slices are granted only
    /// to a registered incarnation.
    pub async fn register(&self) -> RegisterOutcome {
        let attempts = {
            let mut state = self.state();
            state.membership.started = true;
            state.membership.wanted = true;
            state.membership.attempts
        };
        self.core.work.notify();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                if state.membership.attempts > attempts {
                    let witnesses = state.witnesses.current.len();
                    return if state.membership.registered {
                        RegisterOutcome::Registered { witnesses }
                    } else {
                        RegisterOutcome::Pending
                    };
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Sets tokens aside for a request. A request that the slice can pay for costs no store call.
    ///
    /// `Exhausted` is answered only if the pool was read after the request came, and no router that holds
    /// unspent tokens failed to answer.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
        deadline: Instant,
    ) -> ReserveOutcome {
        self.reserve_tokens(budget, tokens, key, deadline).await
    }

    /// Bills a reservation; at most its tokens. Returns what exceeded them (rule B3).
    pub fn settle(&self, reservation: Reservation, billed: TokenCount) -> TokenCount {
        let excess = billed.saturating_sub(reservation.tokens());
        let Reservation { budget, own, loans } = reservation;
        self.core.settle_shares(&budget, own, &loans, billed);
        excess
    }

    /// Takes back what a reclaim counted for earlier attempts of a request that was now billed (rule B6).
    ///
    /// The request must have been settled before, and the processes of all earlier attempts must have ended:
    /// a router that was sealed while it was paused or cut off still runs its requests, and what it bills
    /// later would not be covered.
    pub async fn resolve(&self, budget: &BudgetId, key: &RequestKey) -> ResolveOutcome {
        let (ticket, page, failures) = {
            let mut state = self.state();
            let ticket = state.add_resolve(budget, key);
            let page = StoreKey::budget_page(budget);
            let failures = state.page(&page).failed_rounds;
            (ticket, page, failures)
        };
        let _guard = ResolveGuard { keeper: self, page: page.clone(), ticket };
        self.core.work.notify();
        loop {
            let generation = self.core.changed.generation();
            {
                let mut state = self.state();
                let page = state.page(&page);
                let resolve = page.resolves.iter().find(|resolve| resolve.ticket == ticket);
                if let Some(refund) = resolve.and_then(|resolve| resolve.refund) {
                    return ResolveOutcome::Refunded(refund);
                }
                if page.failed_rounds > failures {
                    return ResolveOutcome::Pending;
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Starts due work and ends waits whose deadline has passed. The router calls it every 50 to 100 ms.
    pub fn maintain(&self) {
        let mut state = self.state();
        state.queue_due_work();
        state.check_membership();
        drop(state);
        self.notify_all();
    }

    /// Seals a dead or superseded incarnation and closes its slices. Maintenance goes on with what could
    /// not be done at once.
    pub async fn reclaim(
        &self,
        instance: &InstanceId,
        incarnation: IncarnationId,
    ) -> ReclaimOutcome {
        let attempts = {
            let mut state = self.state();
            if incarnation == state.incarnation {
                return ReclaimOutcome::Pending(ReclaimObstacle::UnknownIncarnation);
            }
            if state.closing.get(&incarnation).is_some_and(|closing| closing.closed_at.is_some()) {
                return ReclaimOutcome::Closed;
            }
            let new = || ReclaimTask::new(instance.clone());
            state.reclaims.entry(incarnation).or_insert_with(new).attempts
        };
        self.core.work.notify();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                match state.reclaims.get(&incarnation) {
                    Some(task) if task.attempts > attempts => {
                        let unknown = ReclaimObstacle::UnknownIncarnation;
                        return ReclaimOutcome::Pending(task.obstacle.unwrap_or(unknown));
                    }
                    Some(_) => {}
                    None if state.closing.contains_key(&incarnation) => {
                        return ReclaimOutcome::Closed;
                    }
                    None => {
                        let obstacle = ReclaimObstacle::UnknownIncarnation;
                        return ReclaimOutcome::Pending(obstacle);
                    }
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Hands all slices back for a graceful stop. What is still open when the deadline passes stays with
    /// the slices until other routers reclaim them. Nothing is reserved after the call.
    pub async fn hand_back_all(&self, deadline: Instant) -> HandBackOutcome {
        {
            let mut state = self.state();
            state.stopping = true;
            state.answer_demands(DemandAnswer::StoreUnavailable, |_| true);
            state.queue_due_work();
        }
        self.notify_all();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                let has_late = state.pages.values().any(|page| !page.late.is_empty());
                let has_messages =
                    !state.loans.messages.is_empty() || state.loans.messages_in_flight;
                let has_doubt = state.pages.values().any(|page| page.doubt.is_some());
                if state.slices.is_empty() && !has_late && !has_messages && !has_doubt {
                    return HandBackOutcome::Done;
                }
                if state.now() >= deadline {
                    let unspent = |slice: &crate::holder_slice::HolderSlice| {
                        slice.usable.saturating_sub(slice.settled)
                    };
                    let tokens = state.slices.values().map(unspent).sum();
                    return HandBackOutcome::Incomplete { tokens };
                }
            }
            self.core.changed.changed(generation).await;
        }
    }

    /// Answers a peer's [`JournalLink::append`].
    pub fn handle_append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        self.state().witness_store.append(witness, batch)
    }

    /// Answers a peer's [`JournalLink::snapshot`].
    pub fn handle_snapshot(
        &self,
        witness: &WitnessId,
        snapshot: &JournalSnapshot,
    ) -> AppendOutcome {
        self.state().witness_store.install_snapshot(witness, snapshot)
    }

    /// Answers a peer's [`JournalLink::seal`].
    pub fn handle_seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        self.state().witness_store.seal(witness, incarnation)
    }

    /// Answers a peer's [`JournalLink::borrow`].
    pub async fn handle_borrow(&self, request: &LoanRequest) -> LoanOutcome {
        self.give_loan(request).await
    }

    /// Answers a peer's [`JournalLink::settle_loan`].
    pub fn handle_settle_loan(&self, settlement: &LoanSettlement) -> SettlementOutcome {
        let outcome = self.state().take_settlement(settlement);
        self.core.work.notify();
        outcome
    }

    /// A budget as of the last page read or written by this router.
    pub fn balance(&self, budget: &BudgetId) -> Option<BudgetBalance> {
        self.state().balance(budget)
    }

    /// The state of the keeper, for the operator port.
    pub fn dump(&self) -> KeeperDump {
        let state = self.state();
        let budgets = state.pages.values().filter_map(|page| page.cached.as_ref());
        let budgets = budgets
            .flat_map(|(_, page)| page.budgets.keys())
            .filter_map(|budget| Some((budget.clone(), state.balance(budget)?)))
            .collect();
        let instances = state.reclaims.iter();
        KeeperDump {
            instance: state.settings.instance.clone(),
            run: state.run,
            incarnation: state.incarnation,
            registered: state.membership.registered,
            witnesses: state.witnesses.current.clone(),
            peers: state.peers.clone(),
            budgets,
            reclaims: instances.map(|(id, task)| (*id, task.instance.clone())).collect(),
            late_settlements: state.pages.values().map(|page| page.late.len()).sum(),
            loan_messages: state.loans.messages.len(),
            journals_held: state.witness_store.len(),
            store_writes: state.store_writes,
            store_reads: state.store_reads,
        }
    }
}

/// Withdraws a resolve's result when nobody waits for it any more; the resolve itself goes on.
struct ResolveGuard<'a, S: Store, L: JournalLink> {
    keeper: &'a FundsKeeper<S, L>,
    page: StoreKey,
    ticket: u64,
}

impl<S: Store, L: JournalLink> Drop for ResolveGuard<'_, S, L> {
    fn drop(&mut self) {
        let mut state = self.keeper.state();
        let resolves = &mut state.page(&self.page).resolves;
        resolves.retain(|resolve| resolve.ticket != self.ticket || resolve.refund.is_none());
        if let Some(resolve) = resolves.iter_mut().find(|resolve| resolve.ticket == self.ticket) {
            resolve.awaited = false;
        }
    }
}

impl KeeperState {
    fn add_resolve(&mut self, budget: &BudgetId, key: &RequestKey) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let (budget, key) = (budget.clone(), key.clone());
        let page = StoreKey::budget_page(&budget);
        let resolve = KeyResolve { ticket, budget, key, refund: None, awaited: true };
        self.page(&page).resolves.push(resolve);
        self.page_queue.insert(page);
        ticket
    }
}
