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
    page_state::{DemandAnswer, LateSettlement, PageState, PoolDemand},
    reclaim_task::{ClosingReport, ReclaimTask},
};
use crate::{
    BudgetBalance, BudgetPage, GrantPolicy, JournalEntry, KeeperSettings, LoanId, PeerRecord,
    SealReport, WitnessId, WitnessStore, holder_journal::HolderJournal, holder_slice::HolderSlice,
    loan_desk::LoanDesk, usage_window::UsageWindow, witness_tracker::WitnessTracker,
};

/// After this time without a reservation, the unused part of a slice goes back to the pool. With 10 s, the
/// budget experiment (seed 1, calm) took 0.28 store writes a request, and with 30 s it took 0.105.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// The same in a fleet with page homes, whose slices are smaller and shared.
const HOME_IDLE_TIME: Duration = Duration::from_secs(10);

/// From how many other routers on the homes of pages take the grants. In a small fleet each router takes its
/// own, which pays for more during an outage and keeps loans, and so the bills of dead borrowers, to the tail.
const PEERS_FOR_PAGE_HOMES: usize = 24;

/// How many requests of the same size within ten seconds make a router take grants of its own although the
/// fleet uses page homes. With 10, the budget experiment (seed 1, calm, with homes in six routers) took 0.162
/// store writes a request, and with 20 it took 0.125.
const HEAVY_USE: u64 = 20;
/// How long a lender that did not answer is not asked first: the time after which a silent peer is dead.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// All that a keeper knows. Its methods do no I/O and never wait.
#[derive(Debug)]
pub(crate) struct KeeperState {
    pub(crate) settings: KeeperSettings,
    random: StdRng,
    pub(crate) run: IncarnationId,
    pub(crate) incarnation: IncarnationId,
    /// Earlier incarnations of this process, which settles their reservations itself.
    pub(crate) given_up: BTreeSet<IncarnationId>,
    pub(crate) journal: HolderJournal,
    pub(crate) slices: BTreeMap<BudgetId, HolderSlice>,
    /// What this router's requests, and its borrowers', used lately.
    pub(crate) usage: BTreeMap<BudgetId, UsageWindow>,
    /// Lenders that did not answer, and until when they are not asked first.
    pub(crate) avoided: BTreeMap<InstanceId, Instant>,
    /// Settlements whose entries no witness has acknowledged yet, so that a reclaim may count the whole
    /// reservations.
    uncovered_settlements: VecDeque<(JournalSequence, LateSettlement)>,
    pub(crate) witnesses: WitnessTracker,
    pub(crate) membership: MembershipState,
    pub(crate) peers: Vec<PeerRecord>,
    pub(crate) revision: ConfigRevision,
    pub(crate) configured: BTreeMap<BudgetId, TokenCount>,
    pub(crate) pages: BTreeMap<StoreKey, PageState>,
    pub(crate) page_queue: BTreeSet<StoreKey>,
    pub(crate) demands: BTreeMap<u64, PoolDemand>,
    pub(crate) next_ticket: u64,
    pub(crate) reclaims: BTreeMap<IncarnationId, ReclaimTask>,
    pub(crate) closing: BTreeMap<IncarnationId, ClosingReport>,
    pub(crate) witness_store: WitnessStore,
    pub(crate) loans: LoanDesk,
    pub(crate) stopping: bool,
    pub(crate) store_writes: u64,
    pub(crate) store_reads: u64,
}

impl KeeperState {
    pub(crate) fn new(settings: KeeperSettings, mut random: StdRng) -> Self {
        let run = IncarnationId::from_number(random.random());
        let own = WitnessId { instance: settings.instance.clone(), run };
        Self {
            settings,
            random,
            run,
            incarnation: run,
            given_up: BTreeSet::new(),
            journal: HolderJournal::new(run),
            slices: BTreeMap::new(),
            usage: BTreeMap::new(),
            avoided: BTreeMap::new(),
            uncovered_settlements: VecDeque::new(),
            witnesses: WitnessTracker::default(),
            membership: MembershipState::default(),
            peers: Vec::new(),
            revision: ConfigRevision(0),
            configured: BTreeMap::new(),
            pages: BTreeMap::new(),
            page_queue: BTreeSet::new(),
            demands: BTreeMap::new(),
            next_ticket: 0,
            reclaims: BTreeMap::new(),
            closing: BTreeMap::new(),
            witness_store: WitnessStore::new(own),
            loans: LoanDesk::default(),
            stopping: false,
            store_writes: 0,
            store_reads: 0,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.settings.clock.now()
    }

    /// A random number from 0 to 1, for delays.
    pub(crate) fn jitter(&mut self) -> f64 {
        self.random.random()
    }

    pub(crate) fn page(&mut self, key: &StoreKey) -> &mut PageState {
        self.pages.entry(key.clone()).or_default()
    }

    pub(crate) fn available(&self, budget: &BudgetId) -> TokenCount {
        self.slices.get(budget).map_or(TokenCount(0), HolderSlice::available)
    }

    /// Reserves within the slice and journals it. The request must not be sent before the entry is covered
    /// by the witnesses.
    pub(crate) fn claim(
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
        self.note_use(budget, tokens);
        let entry = JournalEntry::Reserve { budget: budget.clone(), tokens, key: key.cloned() };
        Some(self.journal.push(entry))
    }

    pub(crate) fn note_use(&mut self, budget: &BudgetId, tokens: TokenCount) {
        let now = self.now();
        let usage = self.usage.entry(budget.clone()).or_insert_with(|| UsageWindow::new(now));
        usage.add(now, tokens);
    }

    pub(crate) fn recent_use(&mut self, budget: &BudgetId) -> TokenCount {
        let now = self.now();
        self.usage.get_mut(budget).map_or(TokenCount(0), |usage| usage.total(now))
    }

    /// The live router that takes the grants of a page, so that most others can borrow instead of writing.
    /// Rendezvous hashing spreads the pages. Routers may disagree for a while, which costs writes only.
    pub(crate) fn page_home(&self, budget: &BudgetId) -> InstanceId {
        let page = StoreKey::budget_page(budget);
        let live = self.peers.iter().filter(|peer| !peer.leaving).map(PeerRecord::instance);
        let own = &self.settings.instance;
        let score = |instance: &&InstanceId| xxh3_64(format!("{page} {instance}").as_bytes());
        live.chain([own]).max_by_key(score).unwrap_or(own).clone()
    }

    /// Whether most routers borrow from the homes of pages instead of taking grants.
    pub(crate) fn uses_page_homes(&self) -> bool {
        match self.settings.grants {
            GrantPolicy::BySize => self.peers.len() >= PEERS_FOR_PAGE_HOMES,
            GrantPolicy::OwnGrants => false,
            GrantPolicy::PageHomes => true,
        }
    }

    /// Whom a request is to borrow from before the pool is asked: the page's home, unless this router uses
    /// the budget heavily or the home did not answer lately.
    pub(crate) fn first_lender(
        &mut self,
        budget: &BudgetId,
        tokens: TokenCount,
    ) -> Option<InstanceId> {
        let now = self.now();
        self.avoided.retain(|_, until| *until > now);
        let is_heavy = self.recent_use(budget) >= TokenCount(tokens.0.saturating_mul(HEAVY_USE));
        let home = self.page_home(budget);
        let is_asked = self.uses_page_homes()
            && !is_heavy
            && home != self.settings.instance
            && !self.avoided.contains_key(&home);
        is_asked.then_some(home)
    }

    pub(crate) fn avoid_lender(&mut self, lender: &InstanceId) {
        let until = self.now() + AVOID_TIME;
        self.avoided.insert(lender.clone(), until);
    }

    /// Settles a reservation of this or an earlier incarnation. Repeating it changes nothing.
    ///
    /// Freed tokens may be reserved again at once: the entry that reserves them stands behind this one in
    /// the journal, so a witness that has the later one has this one too.
    pub(crate) fn settle_share(
        &mut self,
        budget: &BudgetId,
        incarnation: IncarnationId,
        reservation: JournalSequence,
        billed: TokenCount,
    ) {
        let late = LateSettlement { budget: budget.clone(), incarnation, reservation, billed };
        if incarnation != self.incarnation {
            self.settle_late(late);
            return;
        }
        let Some(tokens) = self.journal.open_tokens(budget, reservation) else { return };
        let billed = billed.min(tokens);
        let sequence = self.journal.push(JournalEntry::Settle { reservation, billed });
        self.uncovered_settlements.push_back((sequence, late));
        if let Some(slice) = self.slices.get_mut(budget) {
            slice.open = slice.open.saturating_sub(tokens);
            slice.settled = slice.settled.saturating_add(billed);
        }
    }

    /// Settles a reservation of a sealed incarnation, whoever's it is, in the store (rule R5).
    pub(crate) fn settle_late(&mut self, late: LateSettlement) {
        let key = StoreKey::budget_page(&late.budget);
        self.page(&key).late.push(late);
        self.page_queue.insert(key);
    }

    /// Withdraws a late settlement that turned out not to be needed.
    pub(crate) fn withdraw_late(&mut self, late: &LateSettlement) {
        let key = StoreKey::budget_page(&late.budget);
        self.page(&key).late.retain(|other| other != late);
    }

    pub(crate) fn is_covered(&self, incarnation: IncarnationId, entry: JournalSequence) -> bool {
        self.incarnation == incarnation && self.witnesses.is_replicated(entry.next())
    }

    /// Forgets settlements that a reclaim will know of.
    pub(crate) fn forget_covered_settlements(&mut self) {
        let settlements = &mut self.uncovered_settlements;
        while settlements
            .front()
            .is_some_and(|(entry, _)| self.witnesses.is_replicated(entry.next()))
        {
            settlements.pop_front();
        }
    }

    pub(crate) fn journal_is_covered(&self) -> bool {
        self.witnesses.is_replicated(self.journal.next_sequence())
    }

    /// Gives the incarnation up, because a witness or the store showed that it was sealed (rule R5).
    ///
    /// From here on nothing is reserved under it, so this process's own journal is as good a report as the
    /// witnesses', and closes the slices even if a witness is lost. Reservations that were not sent yet are
    /// settled late with nothing by those who wait for them.
    pub(crate) fn become_sealed(&mut self) {
        let report = SealReport::from_journals([self.journal.snapshot().clone()]);
        let instance = self.settings.instance.clone();
        let task = ReclaimTask { report, ..ReclaimTask::new(instance) };
        self.reclaims.insert(self.incarnation, task);
        self.given_up.insert(self.incarnation);
        // The slices may have been closed already by witnesses that never got these entries.
        for (_, late) in std::mem::take(&mut self.uncovered_settlements) {
            self.settle_late(late);
        }
        self.incarnation = IncarnationId::from_number(self.random.random());
        self.journal = HolderJournal::new(self.incarnation);
        self.slices.clear();
        self.witnesses = WitnessTracker::default();
        self.membership.begin_again();
    }

    pub(crate) fn add_demand(&mut self, budget: &BudgetId, tokens: TokenCount) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let page = StoreKey::budget_page(budget);
        let demand =
            PoolDemand { budget: budget.clone(), tokens, page: page.clone(), answer: None };
        self.demands.insert(ticket, demand);
        self.page_queue.insert(page);
        ticket
    }

    pub(crate) fn answer_demands(
        &mut self,
        answer: DemandAnswer,
        mut applies_to: impl FnMut(&PoolDemand) -> bool,
    ) {
        for demand in self.demands.values_mut() {
            if demand.answer.is_none() && applies_to(demand) {
                demand.answer = Some(answer);
            }
        }
    }

    /// Takes over what a page says of this incarnation's slices. The page must be one that no write of ours
    /// in doubt can still replace.
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
            self.become_sealed();
        }
    }

    /// Lowers the local bounds to those of a page that is about to be written, which may take effect at any
    /// time from then on.
    pub(crate) fn restrict_to_page(&mut self, key: &StoreKey, page: &BudgetPage) {
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

    /// Queues what has become due with time.
    pub(crate) fn queue_due_work(&mut self) {
        let now = self.now();
        let stopping = self.stopping;
        let idle_time = if self.uses_page_homes() { HOME_IDLE_TIME } else { IDLE_TIME };
        for (budget, slice) in &mut self.slices {
            let is_idle = now.duration_since(slice.last_used) >= idle_time;
            // A slice that is spent to its end is written too, so that the account shows its bills.
            let has_rest =
                slice.available() > TokenCount(0) || slice.settled > slice.recorded_settled;
            if (is_idle && has_rest) || stopping {
                slice.is_returning_surplus = true;
                self.page_queue.insert(StoreKey::budget_page(budget));
            }
        }
        for (key, page) in &mut self.pages {
            if page.has_lasting_work(now) {
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

    pub(crate) fn bill_in_full(&mut self, budget: &BudgetId, loan: LoanId) {
        if loan.incarnation == self.incarnation
            && let Some(tokens) = self.journal.open_tokens(budget, loan.reservation)
        {
            self.settle_share(budget, loan.incarnation, loan.reservation, tokens);
        }
    }

    fn queue_rescans(&mut self, now: Instant) {
        let mut forgotten = Vec::new();
        for (incarnation, closing) in &mut self.closing {
            if closing.take_due_rescan(now) && !self.reclaims.contains_key(incarnation) {
                let mut task = ReclaimTask::new(closing.instance.clone());
                task.report = Some(closing.report.clone());
                self.reclaims.insert(*incarnation, task);
            } else if closing.is_over(now) {
                forgotten.push(*incarnation);
            }
        }
        for incarnation in forgotten {
            if let Some(closing) = self.closing.remove(&incarnation)
                && closing.instance == self.settings.instance
            {
                self.membership.forgettable.insert(incarnation);
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

    /// The highest version that a page of the store is known to have reached.
    pub(crate) fn known_version(&mut self, key: &StoreKey) -> StoreVersion {
        self.page(key).known
    }
}
