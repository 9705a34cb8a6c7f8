use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use bramleywind_store::{StoreKey, StoreVersion};
use bramleywind_types::{
    BudgetId, ConfigRevision, IncarnationId, InstanceId, JournalSequence, RequestKey, TokenCount,
};

use rand::{Rng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    membership_state::MembershipState,
    page_state::{GrantOutcome, GrantRequest, LateSettlement, PageState},
    reclaim_task::{ClosingReport, ReclaimTask},
};
use crate::{
    BudgetBalance, BudgetPage, GrantPolicy, JournalEntry, LedgerSettings, LoanId, PeerRecord,
    SealReport, WitnessId, WitnessStore, holder_journal::HolderJournal, holder_slice::HolderSlice,
    loan_registry::LoanRegistry, usage_window::UsageWindow, witness_tracker::WitnessTracker,
};

/// The time without a reservation after which the unused part of a slice returns to the pool. The budget
/// experiment (seed 1, calm) needs 0.28 store writes per request with 10 s, and 0.105 with 30 s.
const SLICE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// [`SLICE_IDLE_TIMEOUT`] for a fleet that uses page homes, whose slices are smaller and shared.
const HOME_SLICE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of other routers from which on page homes take the grants. In a smaller fleet each router
/// takes its own, which pays for more requests during an outage, and limits loans, and with them the bills
/// of dead borrowers, to budgets that are nearly spent.
const MIN_PEERS_FOR_PAGE_HOMES: usize = 24;

/// The number of requests of the same size within ten seconds from which on a router takes its own grants
/// in a fleet that uses page homes. The budget experiment (seed 1, calm, with page homes among six
/// routers) needs 0.162 store writes per request with 10, and 0.125 with 20.
const HEAVY_USE_REQUESTS: u64 = 20;
/// The time for which a lender that did not answer is not asked first: the time after which a silent peer
/// counts as dead.
const LENDER_AVOID_TIME: Duration = Duration::from_secs(3);

/// The state of a ledger. Its methods do no I/O and never block.
#[derive(Debug)]
pub(crate) struct LedgerState {
    pub(crate) settings: LedgerSettings,
    random: StdRng,
    pub(crate) run: IncarnationId,
    pub(crate) incarnation: IncarnationId,
    /// Sealed earlier incarnations of this process, whose reservations it settles itself.
    pub(crate) past_incarnations: BTreeSet<IncarnationId>,
    pub(crate) journal: HolderJournal,
    pub(crate) slices: BTreeMap<BudgetId, HolderSlice>,
    /// The recent use by this router's requests and those of its borrowers.
    pub(crate) usage: BTreeMap<BudgetId, UsageWindow>,
    /// The lenders that did not answer, with the time until which they are not asked first.
    pub(crate) avoided_lenders: BTreeMap<InstanceId, Instant>,
    /// Settlements that the witnesses have not acknowledged. A reclaim may count their reservations in
    /// full.
    unacknowledged_settlements: VecDeque<(JournalSequence, LateSettlement)>,
    pub(crate) witnesses: WitnessTracker,
    pub(crate) membership: MembershipState,
    pub(crate) peers: Vec<PeerRecord>,
    pub(crate) revision: ConfigRevision,
    pub(crate) base_credits: BTreeMap<BudgetId, TokenCount>,
    pub(crate) pages: BTreeMap<StoreKey, PageState>,
    pub(crate) page_queue: BTreeSet<StoreKey>,
    pub(crate) grant_requests: BTreeMap<u64, GrantRequest>,
    pub(crate) next_ticket: u64,
    pub(crate) reclaims: BTreeMap<IncarnationId, ReclaimTask>,
    pub(crate) closing: BTreeMap<IncarnationId, ClosingReport>,
    pub(crate) witness_store: WitnessStore,
    pub(crate) loans: LoanRegistry,
    pub(crate) stopping: bool,
    pub(crate) store_writes: u64,
    pub(crate) store_reads: u64,
}

impl LedgerState {
    pub(crate) fn new(settings: LedgerSettings, mut random: StdRng) -> Self {
        let run = IncarnationId::from_number(random.random());
        let own = WitnessId { instance: settings.instance.clone(), run };
        Self {
            settings,
            random,
            run,
            incarnation: run,
            past_incarnations: BTreeSet::new(),
            journal: HolderJournal::new(run),
            slices: BTreeMap::new(),
            usage: BTreeMap::new(),
            avoided_lenders: BTreeMap::new(),
            unacknowledged_settlements: VecDeque::new(),
            witnesses: WitnessTracker::default(),
            membership: MembershipState::default(),
            peers: Vec::new(),
            revision: ConfigRevision(0),
            base_credits: BTreeMap::new(),
            pages: BTreeMap::new(),
            page_queue: BTreeSet::new(),
            grant_requests: BTreeMap::new(),
            next_ticket: 0,
            reclaims: BTreeMap::new(),
            closing: BTreeMap::new(),
            witness_store: WitnessStore::new(own),
            loans: LoanRegistry::default(),
            stopping: false,
            store_writes: 0,
            store_reads: 0,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.settings.clock.now()
    }

    /// Returns a random number from 0 to 1, for delays.
    pub(crate) fn jitter(&mut self) -> f64 {
        self.random.random()
    }

    pub(crate) fn page(&mut self, key: &StoreKey) -> &mut PageState {
        self.pages.entry(key.clone()).or_default()
    }

    pub(crate) fn available(&self, budget: &BudgetId) -> TokenCount {
        self.slices.get(budget).map_or(TokenCount(0), HolderSlice::available)
    }

    /// Reserves tokens in the router's own slice and journals the reservation, or returns `None` if the
    /// slice has too few. The request must not be sent before the witnesses have acknowledged the entry.
    pub(crate) fn reserve_own(
        &mut self,
        budget: &BudgetId,
        tokens: TokenCount,
        key: Option<&RequestKey>,
    ) -> Option<JournalSequence> {
        let now = self.now();
        let slice = self.slices.get_mut(budget).filter(|slice| slice.available() >= tokens)?;
        slice.open = slice.open.saturating_add(tokens);
        slice.last_used = now;
        slice.is_returning_surplus = false;
        self.record_use(budget, tokens);
        let entry = JournalEntry::Reserve { budget: budget.clone(), tokens, key: key.cloned() };
        Some(self.journal.push(entry))
    }

    pub(crate) fn record_use(&mut self, budget: &BudgetId, tokens: TokenCount) {
        let now = self.now();
        let usage = self.usage.entry(budget.clone()).or_insert_with(|| UsageWindow::new(now));
        usage.add(now, tokens);
    }

    pub(crate) fn recent_use(&mut self, budget: &BudgetId) -> TokenCount {
        let now = self.now();
        self.usage.get_mut(budget).map_or(TokenCount(0), |usage| usage.total(now))
    }

    /// Returns the page home of a budget: the live router that takes the grants of its page, so that most
    /// others can borrow instead of writing to the store. Rendezvous hashing spreads the pages over the
    /// routers. Routers may disagree on a home for a while, which only costs writes.
    pub(crate) fn page_home(&self, budget: &BudgetId) -> InstanceId {
        let page = StoreKey::budget_page(budget);
        let live = self.peers.iter().filter(|peer| !peer.leaving).map(PeerRecord::instance);
        let own = &self.settings.instance;
        let score = |instance: &&InstanceId| xxh3_64(format!("{page} {instance}").as_bytes());
        live.chain([own]).max_by_key(score).unwrap_or(own).clone()
    }

    /// Reports whether most routers borrow from page homes instead of taking their own grants.
    pub(crate) fn uses_page_homes(&self) -> bool {
        match self.settings.grants {
            GrantPolicy::BySize => self.peers.len() >= MIN_PEERS_FOR_PAGE_HOMES,
            GrantPolicy::OwnGrants => false,
            GrantPolicy::PageHomes => true,
        }
    }

    /// Returns the lender to ask before the pool in a fleet that uses page homes: the page home, unless
    /// this router is the home, uses the budget heavily, or got no answer from the home recently.
    pub(crate) fn preferred_lender(
        &mut self,
        budget: &BudgetId,
        tokens: TokenCount,
    ) -> Option<InstanceId> {
        let now = self.now();
        self.avoided_lenders.retain(|_, until| *until > now);
        let is_heavy =
            self.recent_use(budget) >= TokenCount(tokens.0.saturating_mul(HEAVY_USE_REQUESTS));
        let home = self.page_home(budget);
        let should_borrow = self.uses_page_homes()
            && !is_heavy
            && home != self.settings.instance
            && !self.avoided_lenders.contains_key(&home);
        should_borrow.then_some(home)
    }

    pub(crate) fn avoid_lender(&mut self, lender: &InstanceId) {
        let until = self.now() + LENDER_AVOID_TIME;
        self.avoided_lenders.insert(lender.clone(), until);
    }

    /// Settles a reservation of this or an earlier incarnation. Settling it again has no effect.
    ///
    /// Freed tokens may be reserved again at once: the entry that reserves them follows the settlement in
    /// the journal, so a witness that has the later entry has the settlement as well.
    pub(crate) fn settle_share(
        &mut self,
        budget: &BudgetId,
        incarnation: IncarnationId,
        reservation: JournalSequence,
        billed: TokenCount,
    ) {
        let late = LateSettlement { budget: budget.clone(), incarnation, reservation, billed };
        if incarnation != self.incarnation {
            self.queue_late_settlement(late);
            return;
        }
        let Some(tokens) = self.journal.open_tokens(budget, reservation) else { return };
        let billed = billed.min(tokens);
        let sequence = self.journal.push(JournalEntry::Settle { reservation, billed });
        self.unacknowledged_settlements.push_back((sequence, late));
        if let Some(slice) = self.slices.get_mut(budget) {
            slice.open = slice.open.saturating_sub(tokens);
            slice.settled = slice.settled.saturating_add(billed);
        }
    }

    /// Queues the settlement of a reservation of a sealed incarnation, of this router or another, which is
    /// written to the store (rule R5).
    pub(crate) fn queue_late_settlement(&mut self, late: LateSettlement) {
        let key = StoreKey::budget_page(&late.budget);
        self.page(&key).late_settlements.push(late);
        self.page_queue.insert(key);
    }

    /// Removes a late settlement that is no longer needed.
    pub(crate) fn withdraw_late_settlement(&mut self, late: &LateSettlement) {
        let key = StoreKey::budget_page(&late.budget);
        self.page(&key).late_settlements.retain(|other| other != late);
    }

    /// Reports whether the witnesses have acknowledged an entry of the current incarnation's journal.
    pub(crate) fn is_acknowledged(
        &self,
        incarnation: IncarnationId,
        entry: JournalSequence,
    ) -> bool {
        self.incarnation == incarnation && self.witnesses.is_replicated(entry.next())
    }

    /// Drops the settlements that the witnesses have acknowledged, since a reclaim includes them.
    pub(crate) fn drop_acknowledged_settlements(&mut self) {
        let settlements = &mut self.unacknowledged_settlements;
        while settlements
            .front()
            .is_some_and(|(entry, _)| self.witnesses.is_replicated(entry.next()))
        {
            settlements.pop_front();
        }
    }

    /// Reports whether the witnesses have acknowledged the whole journal.
    pub(crate) fn is_journal_acknowledged(&self) -> bool {
        self.witnesses.is_replicated(self.journal.next_sequence())
    }

    /// Abandons the incarnation and starts a new one, because a witness or the store showed that it was
    /// sealed (rule R5).
    ///
    /// Nothing more is reserved under the sealed incarnation, so this process's own journal is as complete
    /// as the report of its witnesses, and closes the slices even if a witness is lost. The callers that
    /// wait for a reservation whose request was not sent yet settle it late with zero tokens.
    pub(crate) fn abandon_incarnation(&mut self) {
        let report = SealReport::from_journals([self.journal.snapshot().clone()]);
        let instance = self.settings.instance.clone();
        let task = ReclaimTask { report, ..ReclaimTask::new(instance) };
        self.reclaims.insert(self.incarnation, task);
        self.past_incarnations.insert(self.incarnation);
        // The slices may already have been closed with a report of witnesses that lack these entries.
        for (_, late) in std::mem::take(&mut self.unacknowledged_settlements) {
            self.queue_late_settlement(late);
        }
        self.incarnation = IncarnationId::from_number(self.random.random());
        self.journal = HolderJournal::new(self.incarnation);
        self.slices.clear();
        self.witnesses = WitnessTracker::default();
        self.membership.restart();
    }

    /// Queues a grant request and returns its ticket. Tickets increase with each request.
    pub(crate) fn add_grant_request(&mut self, budget: &BudgetId, tokens: TokenCount) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let page = StoreKey::budget_page(budget);
        let request =
            GrantRequest { budget: budget.clone(), tokens, page: page.clone(), outcome: None };
        self.grant_requests.insert(ticket, request);
        self.page_queue.insert(page);
        ticket
    }

    /// Sets the outcome of the pending grant requests that `applies_to` selects.
    pub(crate) fn complete_grant_requests(
        &mut self,
        outcome: GrantOutcome,
        mut applies_to: impl FnMut(&GrantRequest) -> bool,
    ) {
        for request in self.grant_requests.values_mut() {
            if request.outcome.is_none() && applies_to(request) {
                request.outcome = Some(outcome);
            }
        }
    }

    /// Updates the local slices from the records of this incarnation on a page. None of this router's
    /// writes with an unknown outcome may still be able to replace the page.
    pub(crate) fn adopt_page(&mut self, key: &StoreKey, page: &BudgetPage) {
        let now = self.now();
        let incarnation = self.incarnation;
        for (budget, record) in &page.budgets {
            if let Some(record) = record.slices.get(&incarnation) {
                let slice =
                    self.slices.entry(budget.clone()).or_insert_with(|| HolderSlice::new(now));
                slice.usable = record.granted;
            }
        }
        let is_gone = |(budget, slice): (&BudgetId, &HolderSlice)| {
            let record = page.budgets.get(budget);
            slice.usable > TokenCount(0)
                && StoreKey::budget_page(budget) == *key
                && record.is_none_or(|record| !record.slices.contains_key(&incarnation))
        };
        if self.slices.iter().any(is_gone) {
            self.abandon_incarnation();
        }
    }

    /// Lowers the bounds of the local slices to the grants of a page that is about to be written. The
    /// write may take effect at any time after it was sent.
    pub(crate) fn lower_slice_bounds(&mut self, key: &StoreKey, page: &BudgetPage) {
        for (budget, slice) in &mut self.slices {
            if StoreKey::budget_page(budget) != *key {
                continue;
            }
            let record = page.budgets.get(budget);
            let slice_record = record.and_then(|record| record.slices.get(&self.incarnation));
            let granted = slice_record.map_or(TokenCount(0), |record| record.granted);
            slice.usable = slice.usable.min(granted);
        }
    }

    /// Queues the work that has become due: idle slices, pages with pending work and rescans. Also bills
    /// expired loans.
    pub(crate) fn queue_due_work(&mut self) {
        let now = self.now();
        let stopping = self.stopping;
        let idle_time =
            if self.uses_page_homes() { HOME_SLICE_IDLE_TIMEOUT } else { SLICE_IDLE_TIMEOUT };
        for (budget, slice) in &mut self.slices {
            let is_idle = now.duration_since(slice.last_used) >= idle_time;
            // A slice that is fully spent is written as well, so that the page shows its bills.
            let needs_page_write =
                slice.available() > TokenCount(0) || slice.settled > slice.recorded_settled;
            if (is_idle && needs_page_write) || stopping {
                slice.is_returning_surplus = true;
                self.page_queue.insert(StoreKey::budget_page(budget));
            }
        }
        for (key, page) in &mut self.pages {
            if page.has_pending_work(now) {
                self.page_queue.insert(key.clone());
            }
        }
        self.usage.retain(|_, usage| usage.total(now) > TokenCount(0));
        for (loan, budget) in self.loans.take_expired(now) {
            self.bill_in_full(&budget, loan);
        }
        self.queue_rescans(now);
        let peers = &self.peers;
        let is_peer = |witness: &WitnessId| peers.iter().any(|peer| peer.witness == *witness);
        let targets: Vec<WitnessId> = self.witnesses.targets().cloned().collect();
        self.witnesses.progress.retain(|witness, progress| {
            progress.in_flight || targets.contains(witness) || is_peer(witness)
        });
    }

    /// Bills all tokens of a loan that is still open.
    pub(crate) fn bill_in_full(&mut self, budget: &BudgetId, loan: LoanId) {
        if loan.incarnation == self.incarnation
            && let Some(tokens) = self.journal.open_tokens(budget, loan.reservation)
        {
            self.settle_share(budget, loan.incarnation, loan.reservation, tokens);
        }
    }

    /// Queues due rescans after a reclaim, and drops reports that are no longer needed.
    fn queue_rescans(&mut self, now: Instant) {
        let mut forgotten = Vec::new();
        for (incarnation, closing) in &mut self.closing {
            if closing.take_due_rescan(now) && !self.reclaims.contains_key(incarnation) {
                let mut task = ReclaimTask::new(closing.instance.clone());
                task.report = Some(closing.report.clone());
                self.reclaims.insert(*incarnation, task);
            } else if closing.is_expired(now) {
                forgotten.push(*incarnation);
            }
        }
        for incarnation in forgotten {
            if let Some(closing) = self.closing.remove(&incarnation)
                && closing.instance == self.settings.instance
            {
                self.membership.closed_incarnations.insert(incarnation);
            }
        }
    }

    pub(crate) fn balance(&self, budget: &BudgetId) -> Option<BudgetBalance> {
        let page = self.pages.get(&StoreKey::budget_page(budget))?;
        let (_, page) = page.cached.as_ref()?;
        let record = page.budgets.get(budget)?;
        let slice = self.slices.get(budget);
        Some(BudgetBalance {
            credit: record.credit(),
            settled: record.settled,
            pool: record.pool(),
            granted: record.granted(),
            slice_available: self.available(budget),
            slice_open: slice.map_or(TokenCount(0), |slice| slice.open),
        })
    }

    /// Returns the highest version that a page of the store is known to have reached.
    pub(crate) fn min_page_version(&mut self, key: &StoreKey) -> StoreVersion {
        self.page(key).min_version
    }
}
