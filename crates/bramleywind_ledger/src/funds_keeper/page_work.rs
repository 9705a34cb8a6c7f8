//! Reads and writes of budget pages: at most one compare-and-swap at a time for each page of a process, in
//! which everything is joined that the process wants of the page.

use std::collections::BTreeMap;

use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::{BudgetId, IncarnationId, TokenCount};

use super::{
    FundsKeeper,
    keeper_state::KeeperState,
    page_state::{DemandAnswer, LateSettlement},
};
use crate::{
    BudgetPage, BudgetRecord, JournalLink, UnresolvedReservation, holder_slice::HolderSlice,
};

/// How often one round reads again after a lost race, a lost answer or a stale read.
const MAX_ATTEMPTS: usize = 8;

/// How many requests a grant pays for at least, while the pool lasts. Saves writes at the tail, where the
/// part of each router is smaller than a request; what one router then holds, the others borrow.
const REQUESTS_PER_GRANT: u64 = 4;

/// What a page shall become.
struct PagePlan {
    page: BudgetPage,
    changed: bool,
    needs_fresh: bool,
    /// What becomes true when the page is written.
    answers: BTreeMap<u64, DemandAnswer>,
    late_done: Vec<LateSettlement>,
    refunds: BTreeMap<u64, TokenCount>,
    closes_done: Vec<IncarnationId>,
}

/// The store did not answer, or answered with stale or unreadable values only.
struct StoreFailed;

impl<S: Store, L: JournalLink> FundsKeeper<S, L> {
    pub(super) async fn page_round(&self, key: StoreKey) {
        let outcome = self.try_page_round(&key).await;
        {
            let mut state = self.state();
            let (now, jitter) = (state.now(), state.jitter());
            let page = state.page(&key);
            page.in_flight = false;
            if outcome.is_ok() {
                page.retry.record_success();
            } else {
                page.retry.record_failure(now, jitter);
                page.failed_rounds += 1;
                state.answer_demands(DemandAnswer::StoreUnavailable, |demand| demand.page == key);
            }
            let page = state.page(&key);
            let late_is_due = !page.late.is_empty() && page.late_retry.is_due(now);
            let has_more = page.doubt.is_some() || !page.closes.is_empty() || late_is_due;
            let has_demand =
                state.demands.values().any(|demand| demand.page == key && demand.answer.is_none());
            if has_more || (has_demand && state.membership.registered) {
                state.page_queue.insert(key);
            }
        }
        self.notify_all();
    }

    async fn try_page_round(&self, key: &StoreKey) -> Result<(), StoreFailed> {
        let mut is_fresh = false;
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
                if plan.needs_fresh {
                    state.page(key).must_read = true;
                    continue;
                }
                // A write in doubt is fenced by writing the page again, even unchanged: one of the two
                // takes effect, and the other then expects a version that has passed.
                if !plan.changed && state.page(key).doubt.is_none() {
                    state.finish_plan(key, plan);
                    return Ok(());
                }
                state.restrict_to_page(key, &plan.page);
                state.store_writes += 1;
                plan
            };
            let had_doubt = self.state().page(key).doubt.replace(version);
            let outcome = self.shared.store.write(key, plan.page.to_bytes(), version).await;
            let mut state = self.state();
            match outcome {
                WriteOutcome::Applied(written) => {
                    let page = state.page(key);
                    page.doubt = None;
                    page.must_read = false;
                    page.known = page.known.max(written);
                    page.cached = Some((written, plan.page.clone()));
                    if state.incarnation == incarnation {
                        state.adopt_page(key, &plan.page);
                    }
                    state.finish_plan(key, plan);
                    return Ok(());
                }
                WriteOutcome::Conflict => {
                    let page = state.page(key);
                    page.doubt = had_doubt;
                    page.must_read = true;
                    page.known = page.known.max(StoreVersion(version.0 + 1));
                }
                WriteOutcome::NotApplied(_) => {
                    state.page(key).doubt = had_doubt;
                    if had_doubt.is_none() && state.incarnation == incarnation {
                        state.adopt_page(key, &page);
                    }
                    return Err(StoreFailed);
                }
                WriteOutcome::Unknown => state.page(key).must_read = true,
            }
        }
        Err(StoreFailed)
    }

    /// Reads a page, or nothing if the answer was stale.
    async fn read_page(
        &self,
        key: &StoreKey,
    ) -> Result<Option<(StoreVersion, BudgetPage)>, StoreFailed> {
        self.state().store_reads += 1;
        let incarnation = self.incarnation();
        let (version, page) = match self.shared.store.read(key).await {
            ReadOutcome::Found(found) => {
                // A page that can't be read is never overwritten.
                let page = BudgetPage::from_bytes(&found.value).map_err(|_| StoreFailed)?;
                (found.version, page)
            }
            ReadOutcome::Missing => (StoreVersion::MISSING, BudgetPage::default()),
            ReadOutcome::Unavailable(_) => return Err(StoreFailed),
        };
        let mut state = self.state();
        if version < state.known_version(key) {
            return Ok(None);
        }
        let known = state.page(key);
        known.known = version;
        known.must_read = false;
        known.cached = Some((version, page.clone()));
        if known.doubt.is_some_and(|expected| version > expected) {
            known.doubt = None;
        }
        if known.doubt.is_none() && state.incarnation == incarnation {
            state.adopt_page(key, &page);
        }
        Ok(Some((version, page)))
    }
}

impl KeeperState {
    /// Takes the pages from the queue on which work can begin. Requests that wait for a page that is not to
    /// be tried yet are answered at once, so that they turn to loans.
    pub(super) fn take_due_pages(&mut self) -> Vec<StoreKey> {
        let now = self.now();
        let mut due = Vec::new();
        let may_grant = self.membership.registered && !self.stopping;
        if !may_grant && (self.stopping || !self.membership.retry.is_due(now)) {
            self.answer_demands(DemandAnswer::StoreUnavailable, |_| true);
        }
        for key in self.page_queue.clone() {
            let stopping = self.stopping;
            let page = self.page(&key);
            let waits_for_registration = !may_grant && !stopping && !page.has_lasting_work(now);
            if page.in_flight || waits_for_registration {
                continue;
            }
            if !page.retry.is_due(now) {
                self.answer_demands(DemandAnswer::StoreUnavailable, |demand| demand.page == key);
                continue;
            }
            page.in_flight = true;
            self.page_queue.remove(&key);
            due.push(key);
        }
        due
    }

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
            needs_fresh: false,
            answers: BTreeMap::new(),
            late_done: Vec::new(),
            refunds: BTreeMap::new(),
            closes_done: Vec::new(),
        };
        self.plan_closes(key, is_fresh, &mut plan);
        self.plan_refunds(key, is_fresh, &mut plan);
        self.plan_hand_backs(key, &mut plan);
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

    /// Closes slices of sealed incarnations, wherever they turn up. The report is right also for a grant
    /// that took effect late: the page was not written since, so nothing of it was closed before.
    fn plan_closes(&self, key: &StoreKey, is_fresh: bool, plan: &mut PagePlan) {
        for closing in self.closing.values() {
            plan.changed |= plan.page.close_sealed_slices(&closing.report);
        }
        if let Some(page) = self.pages.get(key) {
            plan.needs_fresh |= !page.closes.is_empty() && !is_fresh;
            plan.closes_done.extend(&page.closes);
        }
    }

    fn plan_refunds(&mut self, key: &StoreKey, is_fresh: bool, plan: &mut PagePlan) {
        let now = self.now();
        let given_up = self.given_up.clone();
        let page = self.page(key);
        let late_is_due = !page.late.is_empty() && page.late_retry.is_due(now);
        let resolves = page.resolves.iter().filter(|resolve| resolve.refund.is_none());
        let resolves: Vec<_> = resolves.cloned().collect();
        if (late_is_due || !resolves.is_empty()) && !is_fresh {
            plan.needs_fresh = true;
            return;
        }
        let late = page.late.clone();
        for resolve in resolves {
            // This process settles its own reservations late, also further ones under the same key.
            let is_billed = |entry: &UnresolvedReservation| {
                given_up.contains(&entry.incarnation)
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
        for late in &page.late {
            let Some(record) = plan.page.budgets.get_mut(&late.budget) else {
                plan.late_done.push(late.clone());
                continue;
            };
            let is_resolved = record
                .resolve_reservation(late.incarnation, late.reservation, late.billed)
                .is_some();
            plan.changed |= is_resolved;
            // Without an entry and without a slice, the reservation was never counted, or was resolved.
            if is_resolved || !record.slices.contains_key(&late.incarnation) {
                plan.late_done.push(late.clone());
            }
        }
    }

    /// Lowers slices to what is committed. Their bounds are lowered before the write is sent, and only
    /// while a witness covers the journal: otherwise a reclaim could count more than the lowered grant.
    fn plan_hand_backs(&mut self, key: &StoreKey, plan: &mut PagePlan) {
        if !self.journal_is_covered() {
            return;
        }
        let covered = self.slices.iter().filter(|(budget, slice)| {
            slice.is_returning_surplus && StoreKey::budget_page(budget) == *key
        });
        for (budget, slice) in covered {
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

    /// Grants what requests wait for, and as much more as the last ten seconds' use suggests, but at most
    /// a fair part of the pool.
    fn plan_grants(&mut self, key: &StoreKey, is_fresh: bool, watermark: u64, plan: &mut PagePlan) {
        let mut wanted: BTreeMap<BudgetId, Vec<(u64, TokenCount)>> = BTreeMap::new();
        for (ticket, demand) in &self.demands {
            if demand.page == *key && demand.answer.is_none() && *ticket < watermark {
                wanted.entry(demand.budget.clone()).or_default().push((*ticket, demand.tokens));
            }
        }
        if !self.membership.registered || self.stopping {
            return;
        }
        let now = self.now();
        let routers = self.peers.len() as u64 + 1;
        let lends_first = self.uses_page_homes();
        for (budget, tickets) in wanted {
            let configured = self.configured.get(&budget).copied();
            if configured.is_none() && !plan.page.budgets.contains_key(&budget) {
                plan.needs_fresh |= !is_fresh;
                plan.answers.extend(
                    tickets.iter().map(|(ticket, _)| (*ticket, DemandAnswer::UnknownBudget)),
                );
                continue;
            }
            let record: &mut BudgetRecord = plan.page.budgets.entry(budget.clone()).or_default();
            if let Some(tokens) = configured {
                plan.changed |= record.set_base(self.revision, tokens);
            }
            let asked: TokenCount = tickets.iter().map(|(_, tokens)| *tokens).sum();
            // The basis may grant more than is usable yet, if a write of ours took effect late.
            let granted = record.slices.get(&self.incarnation).map_or(TokenCount(0), |s| s.granted);
            let slice = self.slices.get(&budget);
            let committed = slice.map_or(TokenCount(0), HolderSlice::committed);
            let used = self.usage.get_mut(&budget).map_or(TokenCount(0), |usage| usage.total(now));
            let available = granted.saturating_sub(committed);
            let shortfall = asked.saturating_sub(available);
            if shortfall > record.pool() && !is_fresh {
                plan.needs_fresh = true;
                return;
            }
            let mut reachable = available;
            if shortfall > TokenCount(0) {
                let amount = if lends_first {
                    // A page's home also pays for what others borrow of it.
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
                let answer = if is_met { DemandAnswer::Granted } else { DemandAnswer::PoolEmpty };
                plan.answers.insert(ticket, answer);
                if is_met {
                    reachable = reachable.saturating_sub(tokens);
                }
            }
        }
    }

    /// Takes note of what is true now that the plan is in the store, or changes nothing there.
    fn finish_plan(&mut self, key: &StoreKey, plan: PagePlan) {
        for (ticket, answer) in plan.answers {
            if let Some(demand) = self.demands.get_mut(&ticket) {
                demand.answer = Some(answer);
            }
        }
        let (now, jitter) = (self.now(), self.jitter());
        let page = self.page(key);
        page.closes.retain(|incarnation| !plan.closes_done.contains(incarnation));
        for resolve in &mut page.resolves {
            if resolve.refund.is_none() {
                resolve.refund = plan.refunds.get(&resolve.ticket).copied();
            }
        }
        // Resolves that nobody waits for end here.
        page.resolves.retain(|resolve| resolve.refund.is_none() || resolve.awaited);
        page.late.retain(|late| !plan.late_done.contains(late));
        if page.late.is_empty() {
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
