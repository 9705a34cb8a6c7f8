//! Reads and updates budget pages. A process runs at most one compare-and-swap at a time for each page,
//! which combines all pending changes of the page.

use std::collections::BTreeMap;

use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::{BudgetId, IncarnationId, TokenCount};

use super::{
    TokenLedger,
    ledger_state::LedgerState,
    page_state::{GrantOutcome, LateSettlement},
};
use crate::{
    BudgetPage, BudgetRecord, JournalLink, UnresolvedReservation, holder_slice::HolderSlice,
};

/// The number of attempts of one update, which starts again after a write conflict, a lost answer or a
/// stale read.
const MAX_ATTEMPTS: usize = 8;

/// The minimum number of requests that a grant covers, if the pool has enough tokens. This saves writes when a
/// budget is nearly spent and the equal part of each router is smaller than a request; the other routers
/// then borrow what one of them holds.
const REQUESTS_PER_GRANT: u64 = 4;

/// The planned content of a page, and what follows once it is written.
struct PagePlan {
    page: BudgetPage,
    changed: bool,
    needs_fresh_read: bool,
    /// The outcomes of grant requests once the page is written.
    outcomes: BTreeMap<u64, GrantOutcome>,
    late_done: Vec<LateSettlement>,
    refunds: BTreeMap<u64, TokenCount>,
    closes_done: Vec<IncarnationId>,
}

/// The store did not answer, returned an unreadable page, or all attempts were used up.
struct PageUpdateError;

impl<S: Store, L: JournalLink> TokenLedger<S, L> {
    /// Updates a page, schedules a retry if that fails, and queues the page again if work is left.
    pub(super) async fn update_page(&self, key: StoreKey) {
        let outcome = self.try_update_page(&key).await;
        {
            let mut state = self.state();
            let (now, jitter) = (state.now(), state.jitter());
            let page = state.page(&key);
            page.in_flight = false;
            if outcome.is_ok() {
                page.retry.record_success();
            } else {
                page.retry.record_failure(now, jitter);
                page.failed_updates += 1;
                state.complete_grant_requests(GrantOutcome::StoreUnavailable, |request| {
                    request.page == key
                });
            }
            let page = state.page(&key);
            let late_is_due = !page.late_settlements.is_empty() && page.late_retry.is_due(now);
            let has_more =
                page.uncertain_write.is_some() || !page.pending_closes.is_empty() || late_is_due;
            let has_grant_request = state
                .grant_requests
                .values()
                .any(|request| request.page == key && request.outcome.is_none());
            if has_more || (has_grant_request && state.membership.registered) {
                state.page_queue.insert(key);
            }
        }
        self.notify_all();
    }

    async fn try_update_page(&self, key: &StoreKey) -> Result<(), PageUpdateError> {
        let mut is_fresh = false;
        // Limits the update to the grant requests that arrived before its last read of the page, or before
        // it began if it needs no read.
        let mut watermark = self.state().next_ticket;
        for _ in 0..MAX_ATTEMPTS {
            let cached = {
                let mut state = self.state();
                let page = state.page(key);
                page.cached.clone().filter(|_| !page.must_read)
            };
            let (version, page) = match cached {
                Some(basis) => basis,
                None => {
                    watermark = self.state().next_ticket;
                    is_fresh = true;
                    match self.read_page(key).await? {
                        Some(basis) => basis,
                        None => continue,
                    }
                }
            };
            let incarnation = self.incarnation();
            let plan = {
                let mut state = self.state();
                let plan = state.plan_page(key, &page, is_fresh, watermark);
                if plan.needs_fresh_read {
                    state.page(key).must_read = true;
                    continue;
                }
                // An uncertain write is fenced by writing the page again, even unchanged: only one of the
                // two can take effect, since the other then expects an outdated version.
                if !plan.changed && state.page(key).uncertain_write.is_none() {
                    state.finish_plan(key, plan);
                    return Ok(());
                }
                state.lower_slice_bounds(key, &plan.page);
                state.store_writes += 1;
                plan
            };
            let earlier_uncertain_write = self.state().page(key).uncertain_write.replace(version);
            let outcome = self.shared.store.write(key, plan.page.to_bytes(), version).await;
            let mut state = self.state();
            match outcome {
                WriteOutcome::Applied(written) => {
                    let page = state.page(key);
                    page.uncertain_write = None;
                    page.must_read = false;
                    page.min_version = page.min_version.max(written);
                    page.cached = Some((written, plan.page.clone()));
                    if state.incarnation == incarnation {
                        state.adopt_page(key, &plan.page);
                    }
                    state.finish_plan(key, plan);
                    return Ok(());
                }
                WriteOutcome::Conflict => {
                    let page = state.page(key);
                    page.uncertain_write = earlier_uncertain_write;
                    page.must_read = true;
                    page.min_version = page.min_version.max(StoreVersion(version.0 + 1));
                }
                WriteOutcome::NotApplied(_) => {
                    state.page(key).uncertain_write = earlier_uncertain_write;
                    if earlier_uncertain_write.is_none() && state.incarnation == incarnation {
                        state.adopt_page(key, &page);
                    }
                    return Err(PageUpdateError);
                }
                WriteOutcome::Unknown => state.page(key).must_read = true,
            }
        }
        Err(PageUpdateError)
    }

    /// Reads a page, or returns `None` if the read was stale.
    async fn read_page(
        &self,
        key: &StoreKey,
    ) -> Result<Option<(StoreVersion, BudgetPage)>, PageUpdateError> {
        self.state().store_reads += 1;
        let incarnation = self.incarnation();
        let (version, page) = match self.shared.store.read(key).await {
            ReadOutcome::Found(found) => {
                // A page that can't be decoded is never overwritten.
                let page = BudgetPage::from_bytes(&found.value).map_err(|_| PageUpdateError)?;
                (found.version, page)
            }
            ReadOutcome::Missing => (StoreVersion::MISSING, BudgetPage::default()),
            ReadOutcome::Unavailable(_) => return Err(PageUpdateError),
        };
        let mut state = self.state();
        if version < state.min_page_version(key) {
            return Ok(None);
        }
        let page_state = state.page(key);
        page_state.min_version = version;
        page_state.must_read = false;
        page_state.cached = Some((version, page.clone()));
        if page_state.uncertain_write.is_some_and(|expected| version > expected) {
            page_state.uncertain_write = None;
        }
        if page_state.uncertain_write.is_none() && state.incarnation == incarnation {
            state.adopt_page(key, &page);
        }
        Ok(Some((version, page)))
    }
}

impl LedgerState {
    /// Takes the pages on which work can begin from the queue. Grant requests for a page that waits for
    /// its next retry fail at once, so that their callers ask for loans instead.
    pub(super) fn take_due_pages(&mut self) -> Vec<StoreKey> {
        let now = self.now();
        let mut due = Vec::new();
        let may_grant = self.membership.registered && !self.stopping;
        if !may_grant && (self.stopping || !self.membership.retry.is_due(now)) {
            self.complete_grant_requests(GrantOutcome::StoreUnavailable, |_| true);
        }
        for key in self.page_queue.clone() {
            let stopping = self.stopping;
            let page = self.page(&key);
            let waits_for_registration = !may_grant && !stopping && !page.has_pending_work(now);
            if page.in_flight || waits_for_registration {
                continue;
            }
            if !page.retry.is_due(now) {
                self.complete_grant_requests(GrantOutcome::StoreUnavailable, |request| {
                    request.page == key
                });
                continue;
            }
            page.in_flight = true;
            self.page_queue.remove(&key);
            due.push(key);
        }
        due
    }

    /// Plans the next content of a page. Grant requests with tickets from `watermark` on are left for a
    /// later update.
    fn plan_page(
        &mut self,
        key: &StoreKey,
        basis: &BudgetPage,
        is_fresh: bool,
        watermark: u64,
    ) -> PagePlan {
        let mut plan = PagePlan {
            page: basis.clone(),
            changed: false,
            needs_fresh_read: false,
            outcomes: BTreeMap::new(),
            late_done: Vec::new(),
            refunds: BTreeMap::new(),
            closes_done: Vec::new(),
        };
        self.plan_closes(key, is_fresh, &mut plan);
        self.plan_refunds(key, is_fresh, &mut plan);
        self.plan_slice_returns(key, &mut plan);
        self.plan_grants(key, is_fresh, watermark, &mut plan);
        if plan.changed {
            for (budget, slice) in &self.slices {
                if let Some(record) = plan.page.budgets.get_mut(budget) {
                    record.update_settled(self.incarnation, slice.settled);
                }
            }
        }
        plan
    }

    /// Closes all slices of sealed incarnations on the page. The report also holds for a grant that took
    /// effect late: the page was not written since then, so the slice was not closed before.
    fn plan_closes(&self, key: &StoreKey, is_fresh: bool, plan: &mut PagePlan) {
        for closing in self.closing.values() {
            plan.changed |= plan.page.close_sealed_slices(&closing.report);
        }
        if let Some(page) = self.pages.get(key) {
            plan.needs_fresh_read |= !page.pending_closes.is_empty() && !is_fresh;
            plan.closes_done.extend(&page.pending_closes);
        }
    }

    /// Refunds the reservations of resolve tasks and applies late settlements.
    fn plan_refunds(&mut self, key: &StoreKey, is_fresh: bool, plan: &mut PagePlan) {
        let now = self.now();
        let past_incarnations = self.past_incarnations.clone();
        let page = self.page(key);
        let late_is_due = !page.late_settlements.is_empty() && page.late_retry.is_due(now);
        let resolves = page.resolves.iter().filter(|resolve| resolve.refund.is_none());
        let resolves: Vec<_> = resolves.cloned().collect();
        if (late_is_due || !resolves.is_empty()) && !is_fresh {
            plan.needs_fresh_read = true;
            return;
        }
        let late = page.late_settlements.clone();
        for resolve in resolves {
            // This process settles its own reservations late, including others with the same key.
            let is_billed = |entry: &UnresolvedReservation| {
                past_incarnations.contains(&entry.incarnation)
                    || late.iter().any(|late| {
                        late.incarnation == entry.incarnation && late.reservation == entry.sequence
                    })
            };
            let record = plan.page.budgets.get_mut(&resolve.budget);
            let before = record.as_ref().map_or(0, |record| record.unresolved.len());
            let refund = record.map_or(TokenCount(0), |record| {
                let refund = record.resolve_key(&resolve.key, is_billed);
                plan.changed |= record.unresolved.len() != before;
                refund
            });
            plan.refunds.insert(resolve.ticket, refund);
        }
        if !late_is_due {
            return;
        }
        for late in &page.late_settlements {
            let Some(record) = plan.page.budgets.get_mut(&late.budget) else {
                plan.late_done.push(late.clone());
                continue;
            };
            let is_resolved = record
                .resolve_reservation(late.incarnation, late.reservation, late.billed)
                .is_some();
            plan.changed |= is_resolved;
            // With neither an entry nor a slice, the reservation was never counted or is already resolved.
            if is_resolved || !record.slices.contains_key(&late.incarnation) {
                plan.late_done.push(late.clone());
            }
        }
    }

    /// Lowers the grants of slices to their committed tokens. The local bounds are lowered before the
    /// write is sent, and only while the witnesses have acknowledged the whole journal: otherwise a
    /// reclaim could count more than the lowered grant.
    fn plan_slice_returns(&mut self, key: &StoreKey, plan: &mut PagePlan) {
        if !self.is_journal_acknowledged() {
            return;
        }
        let returned = self.slices.iter().filter(|(budget, slice)| {
            slice.is_returning_surplus && StoreKey::budget_page(budget) == *key
        });
        for (budget, slice) in returned {
            let Some(record) = plan.page.budgets.get_mut(budget) else { continue };
            plan.changed |= slice.settled > slice.recorded_settled;
            let settles = self.stopping && slice.open == TokenCount(0);
            plan.changed |= if settles {
                record.settle_slice(self.incarnation, slice.settled)
            } else {
                record.release_surplus(self.incarnation, slice.committed()) > TokenCount(0)
            };
        }
    }

    /// Grants the tokens that requests wait for, and more if the pool allows it. In a fleet that uses page
    /// homes, a grant is at least the use of the last ten seconds, up to half of an equal part of the
    /// pool. Otherwise it is at least an equal part, and pays for several requests while the pool lasts.
    fn plan_grants(&mut self, key: &StoreKey, is_fresh: bool, watermark: u64, plan: &mut PagePlan) {
        let mut requests_by_budget: BTreeMap<BudgetId, Vec<(u64, TokenCount)>> = BTreeMap::new();
        for (ticket, request) in &self.grant_requests {
            if request.page == *key && request.outcome.is_none() && *ticket < watermark {
                requests_by_budget
                    .entry(request.budget.clone())
                    .or_default()
                    .push((*ticket, request.tokens));
            }
        }
        if !self.membership.registered || self.stopping {
            return;
        }
        let now = self.now();
        let routers = self.peers.len() as u64 + 1;
        let lends_first = self.uses_page_homes();
        for (budget, tickets) in requests_by_budget {
            let base_credit = self.base_credits.get(&budget).copied();
            if base_credit.is_none() && !plan.page.budgets.contains_key(&budget) {
                plan.needs_fresh_read |= !is_fresh;
                plan.outcomes.extend(
                    tickets.iter().map(|(ticket, _)| (*ticket, GrantOutcome::UnknownBudget)),
                );
                continue;
            }
            let record: &mut BudgetRecord = plan.page.budgets.entry(budget.clone()).or_default();
            if let Some(tokens) = base_credit {
                plan.changed |= record.set_base(self.revision, tokens);
            }
            let requested: TokenCount = tickets.iter().map(|(_, tokens)| *tokens).sum();
            // The page may grant more than the local bound if a write of this router took effect late.
            let granted = record.slices.get(&self.incarnation).map_or(TokenCount(0), |s| s.granted);
            let slice = self.slices.get(&budget);
            let committed = slice.map_or(TokenCount(0), HolderSlice::committed);
            let used = self.usage.get_mut(&budget).map_or(TokenCount(0), |usage| usage.total(now));
            let available = granted.saturating_sub(committed);
            let shortfall = requested.saturating_sub(available);
            if shortfall > record.pool() && !is_fresh {
                plan.needs_fresh_read = true;
                return;
            }
            let mut reachable = available;
            if shortfall > TokenCount(0) {
                let amount = if lends_first {
                    // A page home also pays for the loans of other routers.
                    shortfall.max(used.min(TokenCount(record.pool().0 / (2 * routers))))
                } else {
                    let several = TokenCount(shortfall.0.saturating_mul(REQUESTS_PER_GRANT));
                    let equal_part = TokenCount(record.pool().0 / routers);
                    shortfall.max(several.min(record.pool())).max(equal_part)
                };
                let added = record.grant(self.incarnation, &self.settings.instance, amount);
                plan.changed |= added > TokenCount(0);
                reachable = reachable.saturating_add(added);
            }
            for (ticket, tokens) in tickets {
                let is_met = tokens <= reachable;
                let outcome = if is_met { GrantOutcome::Granted } else { GrantOutcome::PoolEmpty };
                plan.outcomes.insert(ticket, outcome);
                if is_met {
                    reachable = reachable.saturating_sub(tokens);
                }
            }
        }
    }

    /// Updates the state after a plan was written to the store or needed no change there.
    fn finish_plan(&mut self, key: &StoreKey, plan: PagePlan) {
        for (ticket, outcome) in plan.outcomes {
            if let Some(request) = self.grant_requests.get_mut(&ticket) {
                request.outcome = Some(outcome);
            }
        }
        let (now, jitter) = (self.now(), self.jitter());
        let page = self.page(key);
        page.pending_closes.retain(|incarnation| !plan.closes_done.contains(incarnation));
        for resolve in &mut page.resolves {
            if resolve.refund.is_none() {
                resolve.refund = plan.refunds.get(&resolve.ticket).copied();
            }
        }
        // Drops the finished tasks for which no caller waits.
        page.resolves.retain(|resolve| resolve.refund.is_none() || resolve.is_awaited);
        page.late_settlements.retain(|late| !plan.late_done.contains(late));
        if page.late_settlements.is_empty() {
            page.late_retry.record_success();
        } else if page.late_retry.is_due(now) {
            page.late_retry.record_failure(now, jitter);
        }
        let incarnation = self.incarnation;
        let stopping = self.stopping;
        let slices = &mut self.slices;
        for (budget, slice) in slices.iter_mut() {
            if StoreKey::budget_page(budget) != *key {
                continue;
            }
            if slice.available() == TokenCount(0) {
                slice.is_returning_surplus = false;
            }
            let record = plan.page.budgets.get(budget);
            if let Some(record) = record.and_then(|record| record.slices.get(&incarnation)) {
                slice.recorded_settled = record.settled;
            }
        }
        if stopping {
            slices.retain(|budget, _| {
                let record = plan.page.budgets.get(budget);
                StoreKey::budget_page(budget) != *key
                    || record.is_some_and(|record| record.slices.contains_key(&incarnation))
            });
        }
    }
}
