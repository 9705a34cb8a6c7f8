//! One router's part of the token ledger, with a submodule for each counterpart: budget pages, witnesses,
//! the member record, and the routers that lend and borrow tokens.

mod journal_replication;
mod ledger_core;
mod ledger_state;
mod loan_exchange;
mod membership_state;
mod membership_update;
mod page_state;
mod page_update;
mod pending_shares;
mod reclaim_task;
mod slice_reclaim;
mod token_reservation;

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
use ledger_core::LedgerCore;
use ledger_state::LedgerState;
use page_state::{GrantOutcome, ResolveTask};
use rand::{SeedableRng, rngs::StdRng};
use reclaim_task::ReclaimTask;

use crate::{
    AppendOutcome, BudgetBalance, HandBackOutcome, JournalBatch, JournalLink, JournalSnapshot,
    LedgerDump, LedgerSettings, LoanOutcome, LoanRequest, LoanSettlement, PeerRecord,
    ReclaimObstacle, ReclaimOutcome, RegisterOutcome, Reservation, ReserveOutcome, ResolveOutcome,
    SealOutcome, SettlementOutcome, WitnessId, signal::Signal,
};

/// One router's part of the token ledger: reserves, bills and lends tokens of the slices that the router
/// holds. Clones share the same state.
///
/// The router spawns [`TokenLedger::run`] once and calls [`TokenLedger::maintain`] every 50 to 100 ms.
/// `run` makes all store calls, and all peer calls except requests for loans, so a caller that is dropped
/// does not cancel a write halfway.
///
/// Bills can't exceed the credit, because:
///
/// 1. A write to a page keeps the sum of closed spending and all grants within the credit, or does not
///    increase it ([`crate::BudgetRecord::grant`] takes tokens from the pool only).
/// 2. A holder commits (bills and open reservations) at most the amount that it knows to be granted
///    permanently. It raises this bound only from a page that none of its own writes with an unknown
///    outcome can still replace, and lowers it before it sends a write that lowers the grant.
/// 3. A reservation is used only after a witness of each member record that may be in force has
///    acknowledged it. A slice is closed only after all witnesses of a final member record were sealed, or
///    by the holder itself after it abandoned the incarnation. The amount counted at the close therefore
///    includes every reservation that was used, even if routers were paused, partitioned or lost
///    meanwhile.
/// 4. An amount that was counted returns to the pool only in the write that removes the entry of its
///    reservation, so it returns at most once.
pub struct TokenLedger<S, L> {
    core: Rc<LedgerCore>,
    shared: Rc<SharedLinks<S, L>>,
}

/// The store and the peer link, shared by all clones.
struct SharedLinks<S, L> {
    store: S,
    link: L,
}

impl<S, L> Clone for TokenLedger<S, L> {
    fn clone(&self) -> Self {
        Self { core: Rc::clone(&self.core), shared: Rc::clone(&self.shared) }
    }
}

impl<S: Store, L: JournalLink> TokenLedger<S, L> {
    /// Returns a ledger without peers and slices, under a new random incarnation.
    pub fn new(settings: LedgerSettings, store: S, link: L) -> Self {
        Self::with_seed(settings, store, link, rand::random())
    }

    /// Returns a ledger whose ids and delays are derived from `seed`, for reproducible tests and
    /// simulations.
    pub fn with_seed(settings: LedgerSettings, store: S, link: L, seed: u64) -> Self {
        let core = LedgerCore {
            state: RefCell::new(LedgerState::new(settings, StdRng::seed_from_u64(seed))),
            work: Signal::default(),
            changed: Signal::default(),
        };
        Self { core: Rc::new(core), shared: Rc::new(SharedLinks { store, link }) }
    }

    fn state(&self) -> RefMut<'_, LedgerState> {
        self.core.state.borrow_mut()
    }

    fn notify_all(&self) {
        self.core.work.notify();
        self.core.changed.notify();
    }

    /// Returns the id of this process run, by which other routers name it as a witness.
    pub fn run_id(&self) -> IncarnationId {
        self.state().run
    }

    /// Returns the current incarnation. It changes when this router finds out that it was sealed.
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

    /// Replaces the configured base credits, unless `revision` is older than the current one. They are
    /// written to the store with the next page write that needs them.
    pub fn configure(&self, revision: ConfigRevision, budgets: Vec<(BudgetId, TokenCount)>) {
        let mut state = self.state();
        if revision >= state.revision {
            state.revision = revision;
            state.base_credits = budgets.into_iter().collect();
        }
    }

    /// Runs the store calls of the ledger and its peer calls, except requests for loans, and never
    /// returns. The router spawns it once, as a task of its own. Without it only the `handle_*` methods
    /// make progress.
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
            jobs.push(Box::pin(self.update_membership()));
        }
        for witness in state.take_due_witnesses() {
            jobs.push(Box::pin(self.send_journal(witness)));
        }
        let has_pending_request =
            state.grant_requests.values().any(|request| request.outcome.is_none());
        for key in state.take_due_pages() {
            jobs.push(Box::pin(self.update_page(key)));
        }
        for incarnation in state.take_due_reclaims() {
            jobs.push(Box::pin(self.reclaim_incarnation(incarnation)));
        }
        let messages = state.take_due_messages();
        if !messages.is_empty() {
            jobs.push(Box::pin(self.send_loan_messages(messages)));
        }
        drop(state);
        if has_pending_request {
            // `take_due_pages` answered the requests whose page waits for its next retry.
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
            state.membership.update_needed = true;
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

    /// Reserves tokens for a request. A request that the router's own slice can pay for needs no store
    /// call.
    ///
    /// Returns `Exhausted` only if the pool was read after the request arrived, and the tokens that were
    /// found do not suffice even with the unspent tokens of the routers that did not answer.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
        deadline: Instant,
    ) -> ReserveOutcome {
        self.reserve_tokens(budget, tokens, key, deadline).await
    }

    /// Bills a reservation, up to its tokens. Returns the part of `billed` that exceeds them (rule B3).
    pub fn settle(&self, reservation: Reservation, billed: TokenCount) -> TokenCount {
        let excess = billed.saturating_sub(reservation.tokens());
        let Reservation { budget, own, loans } = reservation;
        self.core.settle_shares(&budget, own, &loans, billed);
        excess
    }

    /// Refunds the tokens that a reclaim counted for earlier attempts of a request that has been billed
    /// since (rule B6).
    ///
    /// The request must be settled, and the processes of all earlier attempts must have ended: a router
    /// that was sealed while it was paused or partitioned still runs its requests, and its later bills
    /// would not be covered.
    pub async fn resolve(&self, budget: &BudgetId, key: &RequestKey) -> ResolveOutcome {
        let (ticket, page, failures) = {
            let mut state = self.state();
            let ticket = state.add_resolve(budget, key);
            let page = StoreKey::budget_page(budget);
            let failures = state.page(&page).failed_updates;
            (ticket, page, failures)
        };
        let _guard = ResolveGuard { ledger: self, page: page.clone(), ticket };
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
                if page.failed_updates > failures {
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

    /// Seals a dead or superseded incarnation and closes its slices. After a first attempt that fails,
    /// maintenance continues the reclaim.
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

    /// Returns all slices to the pool for a graceful stop. Reservations that are open when the deadline
    /// passes stay with their slices until other routers reclaim them. No reservation is made after the
    /// call.
    pub async fn hand_back_all(&self, deadline: Instant) -> HandBackOutcome {
        {
            let mut state = self.state();
            state.stopping = true;
            state.complete_grant_requests(GrantOutcome::StoreUnavailable, |_| true);
            state.queue_due_work();
        }
        self.notify_all();
        loop {
            let generation = self.core.changed.generation();
            {
                let state = self.state();
                let has_late = state.pages.values().any(|page| !page.late_settlements.is_empty());
                let has_messages =
                    !state.loans.messages.is_empty() || state.loans.messages_in_flight;
                let has_uncertain_write =
                    state.pages.values().any(|page| page.uncertain_write.is_some());
                if state.slices.is_empty() && !has_late && !has_messages && !has_uncertain_write {
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

    /// Handles a peer's [`JournalLink::append`].
    pub fn handle_append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        self.state().witness_store.append(witness, batch)
    }

    /// Handles a peer's [`JournalLink::snapshot`].
    pub fn handle_snapshot(
        &self,
        witness: &WitnessId,
        snapshot: &JournalSnapshot,
    ) -> AppendOutcome {
        self.state().witness_store.install_snapshot(witness, snapshot)
    }

    /// Handles a peer's [`JournalLink::seal`].
    pub fn handle_seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        self.state().witness_store.seal(witness, incarnation)
    }

    /// Handles a peer's [`JournalLink::borrow`].
    pub async fn handle_borrow(&self, request: &LoanRequest) -> LoanOutcome {
        self.give_loan(request).await
    }

    /// Handles a peer's [`JournalLink::settle_loan`].
    pub fn handle_settle_loan(&self, settlement: &LoanSettlement) -> SettlementOutcome {
        let outcome = self.state().settle_given_loan(settlement);
        self.core.work.notify();
        outcome
    }

    /// Returns the balance of a budget as of the last page that this router read or wrote.
    pub fn balance(&self, budget: &BudgetId) -> Option<BudgetBalance> {
        self.state().balance(budget)
    }

    /// Returns the state of the ledger, for the operator port.
    pub fn dump(&self) -> LedgerDump {
        let state = self.state();
        let budgets = state.pages.values().filter_map(|page| page.cached.as_ref());
        let budgets = budgets
            .flat_map(|(_, page)| page.budgets.keys())
            .filter_map(|budget| Some((budget.clone(), state.balance(budget)?)))
            .collect();
        let instances = state.reclaims.iter();
        LedgerDump {
            instance: state.settings.instance.clone(),
            run: state.run,
            incarnation: state.incarnation,
            registered: state.membership.registered,
            witnesses: state.witnesses.current.clone(),
            peers: state.peers.clone(),
            budgets,
            reclaims: instances.map(|(id, task)| (*id, task.instance.clone())).collect(),
            late_settlements: state.pages.values().map(|page| page.late_settlements.len()).sum(),
            loan_messages: state.loans.messages.len(),
            journals_held: state.witness_store.len(),
            store_writes: state.store_writes,
            store_reads: state.store_reads,
        }
    }
}

/// Drops the result of a resolve task when its caller stops waiting. A task without a result continues.
struct ResolveGuard<'a, S: Store, L: JournalLink> {
    ledger: &'a TokenLedger<S, L>,
    page: StoreKey,
    ticket: u64,
}

impl<S: Store, L: JournalLink> Drop for ResolveGuard<'_, S, L> {
    fn drop(&mut self) {
        let mut state = self.ledger.state();
        let resolves = &mut state.page(&self.page).resolves;
        resolves.retain(|resolve| resolve.ticket != self.ticket || resolve.refund.is_none());
        if let Some(resolve) = resolves.iter_mut().find(|resolve| resolve.ticket == self.ticket) {
            resolve.is_awaited = false;
        }
    }
}

impl LedgerState {
    fn add_resolve(&mut self, budget: &BudgetId, key: &RequestKey) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let (budget, key) = (budget.clone(), key.clone());
        let page = StoreKey::budget_page(&budget);
        let resolve = ResolveTask { ticket, budget, key, refund: None, is_awaited: true };
        self.page(&page).resolves.push(resolve);
        self.page_queue.insert(page);
        ticket
    }
}
