//! A simulation in virtual time of a fleet of budget ledgers, a store that fails, and processes that crash.

mod presences;
mod witnesses;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_gateway::{
    funds::{BudgetLedger, BudgetRecord, StoreAction},
    platform_api::{BudgetChange, BudgetEntry, CommitOutcome},
    witness::{HolderLink, WitnessRegistry},
};
use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, InstanceId, TokenCount, WorkspaceId};
use presences::{PresenceWrite, StoredPresence};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The prepaid total of the only workspace.
pub const PREPAID: u64 = 200_000;

/// The number of gateways in the fleet.
const GATEWAYS: usize = 4;

/// The interval of the periodic work while nothing fails by itself.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of records in one write, as on the platform.
const MAX_CHANGES: usize = 15;

/// The rule by which the tokens of a process are returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverRule {
    /// By the ceilings that the witness knows, or else by the age of the presence record, as in production.
    Production,
    /// All standby tokens are returned, regardless of the age of the presence record.
    IgnoresAge,
    /// The witness returns all tokens, regardless of the ceilings.
    IgnoresCeilings,
    /// The witness returns the tokens of a silent process without closing its presence record.
    LeavesRecordOpen,
}

struct PendingWrite {
    due: Duration,
    change: BudgetChange,
}

struct Process {
    instance: InstanceId,
    ledger: BudgetLedger,
    incarnation: IncarnationId,
    started_at: Duration,
    link: HolderLink,
    registry: WitnessRegistry,
    /// Whether the process reaches neither the store nor the others.
    is_cut_off: bool,
    /// The tokens of each open reservation.
    reserved: Vec<u64>,
    spent: u64,
}

/// The simulated fleet and its store.
pub struct World {
    random: SmallRng,
    prepaid: u64,
    /// Whether neither the store nor the processes fail by themselves.
    is_calm: bool,
    start: Instant,
    now: Duration,
    rule: TakeoverRule,
    workspace: WorkspaceId,
    record: BudgetRecord,
    version: u64,
    is_down: bool,
    pending: Vec<PendingWrite>,
    presences: BTreeMap<InstanceId, StoredPresence>,
    pending_presences: Vec<PresenceWrite>,
    next_instance: usize,
    processes: Vec<Process>,
    spent_by_ended: u64,
    /// The tokens that each ended process had taken from its grants.
    taken_by_ended: BTreeMap<IncarnationId, u64>,
    next_incarnation: u64,
    /// Whether all processes borrow from the first one, as they do while they agree on the primary.
    has_one_lender: bool,
}

impl World {
    pub fn new(seed: u64, rule: TakeoverRule) -> Self {
        Self::with_prepaid(seed, rule, PREPAID, false)
    }

    /// Creates a fleet that borrows from its first process, and in which nothing fails by itself.
    pub fn calm(seed: u64, prepaid: u64) -> Self {
        Self::with_prepaid(seed * 2 + 1, TakeoverRule::Production, prepaid, true)
    }

    fn with_prepaid(seed: u64, rule: TakeoverRule, prepaid: u64, is_calm: bool) -> Self {
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            prepaid,
            is_calm,
            start: Instant::now(),
            now: Duration::ZERO,
            rule,
            workspace: "menders".parse().unwrap(),
            record: BudgetRecord::default(),
            version: 0,
            is_down: false,
            pending: Vec::new(),
            presences: BTreeMap::new(),
            pending_presences: Vec::new(),
            next_instance: 1,
            processes: Vec::new(),
            spent_by_ended: 0,
            taken_by_ended: BTreeMap::new(),
            next_incarnation: 1,
            has_one_lender: seed % 2 == 1,
        };
        for index in 0..GATEWAYS {
            let instance = world.new_instance();
            let process = world.new_process(index, instance);
            world.processes.push(process);
        }
        world
    }

    /// Returns the tokens that all processes that ever ran have spent or may have spent.
    pub fn spent(&self) -> u64 {
        let alive = self
            .processes
            .iter()
            .map(|process| process.spent + process.reserved.iter().sum::<u64>());
        self.spent_by_ended + alive.sum::<u64>()
    }

    /// Returns whether the store counts all tokens as spent that any process has taken from its grants. The others may be granted again.
    pub fn counts_all_taken(&self) -> bool {
        let alive = self.processes.iter().map(|process| (process.incarnation, self.taken(process)));
        let ended = self.taken_by_ended.iter().map(|(incarnation, taken)| (*incarnation, *taken));
        alive
            .chain(ended)
            .all(|(incarnation, taken)| taken <= self.record.grant(incarnation).total().0)
    }

    fn taken(&self, process: &Process) -> u64 {
        let Some(account) = process.ledger.account(&self.workspace) else { return 0 };
        let committed = account.spent().0 + account.reserved().0 + account.lent().0;
        committed.saturating_sub(account.borrowed().0)
    }

    /// Returns the tokens that ended processes had not taken from their grants and that nobody can use, although they count as spent.
    pub fn stranded(&self) -> u64 {
        let ended = self.taken_by_ended.iter();
        ended
            .map(|(holder, taken)| self.record.grant(*holder).total().0.saturating_sub(*taken))
            .sum()
    }

    /// Runs for a time, with the periodic work of all processes at its usual interval.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        let mut review_at = self.now;
        while self.now < end {
            self.step();
            if self.now >= review_at {
                review_at = self.now + REVIEW_INTERVAL;
                for index in 0..GATEWAYS {
                    self.write_presence(index);
                    self.raise_ceilings(index);
                    self.return_silent(index);
                    self.return_orphans(index);
                }
            }
        }
    }

    /// Ends the process that draws for the others. Its machine comes back with a successor after `down`, or another one takes its place.
    pub fn end_lender(&mut self, down: Option<Duration>) {
        match down {
            Some(down) => {
                let instance = self.processes[0].instance.clone();
                let ended = self.replace_process(0, instance);
                self.processes[0].is_cut_off = true;
                self.run_for(down);
                self.processes[0].is_cut_off = false;
                self.processes[0].started_at = self.now;
                self.take_over(0, ended);
            }
            None => self.lose(0),
        }
    }

    /// Ends all processes at the same moment. All machines but the first come back after `down`, and another one takes its place.
    pub fn end_all(&mut self, down: Duration) {
        let ended: Vec<_> = (1..GATEWAYS)
            .map(|index| {
                let instance = self.processes[index].instance.clone();
                (index, self.replace_process(index, instance))
            })
            .collect();
        self.lose(0);
        self.now += down;
        for (index, incarnation) in ended {
            self.processes[index].started_at = self.now;
            self.take_over(index, incarnation);
        }
    }

    /// Advances the time and executes one random event.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(self.random.random_range(1..40));
        self.run_pending();
        let index = self.random.random_range(0..GATEWAYS);
        // What fails by itself comes last.
        let events = if self.is_calm { 968 } else { 1_000 };
        match self.random.random_range(0..events) {
            0..440 => self.reserve(index),
            440..600 => self.settle(index),
            600..740 => self.call_store(index),
            740..790 => self.write_presence(index),
            790..880 => self.raise_ceilings(index),
            880..900 => self.return_silent(index),
            900..904 => self.return_orphans(index),
            904..968 => self.borrow(index),
            968..978 => self.return_excess(index),
            // The processes need not agree on the primary.
            978..980 => self.change_primary(index),
            980..984 => self.is_down = !self.is_down,
            984..986 => self.restart(index),
            // A power failure: the store returns first, then all processes restart.
            986..988 => {
                self.is_down = false;
                (0..GATEWAYS).for_each(|index| self.restart(index));
            }
            988..990 => self.now += Duration::from_millis(self.random.random_range(100..4_000)),
            990..992 => self.lose(index),
            992..995 => {
                let process = &mut self.processes[index];
                process.is_cut_off = !process.is_cut_off;
            }
            // All lose power, and some of them for good.
            995 => {
                self.is_down = false;
                for index in 0..GATEWAYS {
                    if self.random.random_range(0..3) > 0 {
                        self.restart(index);
                    } else {
                        self.lose(index);
                    }
                }
            }
            _ => {}
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn new_instance(&mut self) -> InstanceId {
        let number = self.next_instance;
        self.next_instance += 1;
        format!("front-{number}").parse().unwrap()
    }

    fn new_process(&mut self, index: usize, instance: InstanceId) -> Process {
        let incarnation = IncarnationId::from_number(self.next_incarnation);
        self.next_incarnation += 1;
        let mut ledger = BudgetLedger::new(incarnation);
        ledger.set_prepaid(&self.workspace, TokenCount(self.prepaid), self.instant());
        let is_primary = self.draw_is_primary(index);
        ledger.set_primary(|_| is_primary, self.instant());
        Process {
            instance,
            ledger,
            incarnation,
            started_at: self.now,
            link: HolderLink::default(),
            registry: WitnessRegistry::default(),
            is_cut_off: false,
            reserved: Vec::new(),
            spent: 0,
        }
    }

    fn reserve(&mut self, index: usize) {
        let need = self.random.random_range(50..1_500);
        let now = self.instant();
        let process = &mut self.processes[index];
        if process.ledger.try_reserve(&self.workspace, TokenCount(need), now) {
            process.reserved.push(need);
        }
    }

    fn settle(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(need) = process.reserved.pop() else { return };
        let spent = self.random.random_range(0..=need);
        process.spent += spent;
        process.ledger.settle(&self.workspace, TokenCount(need), TokenCount(spent));
    }

    /// Returns a number from 0 to 99. The smaller ones are failures of the store.
    pub(super) fn draw_failure(&mut self) -> u32 {
        let roll = self.random.random_range(0..100);
        if self.is_calm { roll.max(20) } else { roll }
    }

    /// Returns whether a process reaches the store.
    fn reaches_store(&self, index: usize) -> bool {
        !self.is_down && !self.processes[index].is_cut_off
    }

    fn call_store(&mut self, index: usize) {
        let (now, reaches_store) = (self.instant(), self.reaches_store(index));
        match self.processes[index].ledger.plan_call(MAX_CHANGES, now) {
            StoreAction::Idle => self.processes[index].ledger.set_store_reachable(reaches_store),
            StoreAction::Read => self.read(index),
            StoreAction::Write(changes) => {
                let outcome = self.commit(&changes, reaches_store);
                let is_store_reachable =
                    !matches!(outcome, CommitOutcome::NotApplied | CommitOutcome::Unknown);
                let process = &mut self.processes[index];
                process.ledger.apply_outcome(changes, outcome, now);
                process.ledger.set_store_reachable(is_store_reachable);
            }
        }
    }

    fn read(&mut self, index: usize) {
        if !self.reaches_store(index) {
            self.processes[index].ledger.set_store_reachable(false);
            return;
        }
        let (now, entry) = (self.instant(), self.entry());
        self.processes[index].ledger.apply_entries(vec![entry], Some(now));
    }

    fn entry(&self) -> BudgetEntry {
        BudgetEntry {
            workspace: self.workspace.clone(),
            version: StoreVersion(self.version),
            record: self.record.clone(),
        }
    }

    fn commit(&mut self, changes: &[BudgetChange], reaches_store: bool) -> CommitOutcome {
        let change = changes[0].clone();
        let roll = self.draw_failure();
        if !reaches_store || roll < 10 {
            // Some unanswered writes are applied later if their condition still holds.
            if roll.is_multiple_of(2) {
                let due = self.now + Duration::from_millis(self.random.random_range(0..6_000));
                self.pending.push(PendingWrite { due, change });
                return CommitOutcome::Unknown;
            }
            return CommitOutcome::NotApplied;
        }
        if change.expected != StoreVersion(self.version) {
            return CommitOutcome::Conflict(vec![self.entry()]);
        }
        self.write(change.record);
        if roll < 20 {
            CommitOutcome::Unknown
        } else {
            CommitOutcome::Applied(StoreVersion(self.version))
        }
    }

    fn write(&mut self, record: BudgetRecord) {
        self.record = record;
        self.version += 1;
    }

    fn run_pending(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.pending.extract_if(.., |write| write.due <= now).collect();
        for write in due {
            if write.change.expected == StoreVersion(self.version) {
                self.write(write.change.record);
            }
        }
        self.run_pending_presences();
    }

    fn borrow(&mut self, index: usize) {
        let lender = if self.has_one_lender { 0 } else { self.random.random_range(0..GATEWAYS) };
        if lender == index || !self.is_connected(lender, index) {
            return;
        }
        let (now, wanted) = (self.instant(), TokenCount(self.random.random_range(100..5_000)));
        let lent = self.processes[lender].ledger.lend(&self.workspace, TokenCount(0), wanted, now);
        // The answer may be lost.
        if self.random.random_range(0..10) > 0 || self.is_calm {
            self.processes[index].ledger.accept_loan(&self.workspace, lent);
        }
    }

    /// Returns borrowed tokens that a process does not need to any process. The message may be lost.
    fn return_excess(&mut self, index: usize) {
        let now = self.instant();
        let excess = self.processes[index].ledger.take_excess(now);
        let recipient = self.random.random_range(0..GATEWAYS);
        for (workspace, tokens) in excess {
            let is_received = self.random.random_range(0..10) > 0 || self.is_calm;
            if is_received && self.is_connected(index, recipient) {
                self.processes[recipient].ledger.accept_loan(&workspace, tokens);
            }
        }
    }

    fn draw_is_primary(&mut self, index: usize) -> bool {
        let odds = match (self.has_one_lender, index) {
            (true, 0) | (false, _) => 7,
            (true, _) => 1,
        };
        self.random.random_range(0..8) < odds
    }

    fn change_primary(&mut self, index: usize) {
        let (now, is_primary) = (self.instant(), self.draw_is_primary(index));
        self.processes[index].ledger.set_primary(|_| is_primary, now);
    }

    /// Crashes a process with open requests, all of which may have used their full reservation, and starts its
    /// successor.
    fn restart(&mut self, index: usize) {
        let instance = self.processes[index].instance.clone();
        let ended = self.replace_process(index, instance);
        self.now += Duration::from_millis(self.random.random_range(100..3_000));
        self.processes[index].started_at = self.now;
        if !self.is_down {
            self.take_over(index, ended);
        }
    }

    /// Loses a machine for good, and starts a process on another one in its place.
    fn lose(&mut self, index: usize) {
        let instance = self.new_instance();
        self.replace_process(index, instance);
    }

    fn replace_process(&mut self, index: usize, instance: InstanceId) -> IncarnationId {
        let successor = self.new_process(index, instance);
        let ended = std::mem::replace(&mut self.processes[index], successor);
        self.spent_by_ended += ended.spent + ended.reserved.iter().sum::<u64>();
        self.taken_by_ended.insert(ended.incarnation, self.taken(&ended));
        ended.incarnation
    }
}
