//! A fleet of grant books, a store that fails, and processes that die, in virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_gateway::{
    funds::{Allowance, BudgetRecord, CommitPlan, GrantBook, ReserveOutcome, take_over},
    link::{BudgetChange, BudgetEntry, CommitOutcome},
};
use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount, WorkspaceId};
use futures_channel::oneshot;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The prepaid total of the only workspace.
pub const PREPAID: u64 = 200_000;

/// Gateways of the fleet.
const GATEWAYS: usize = 4;

/// Requests of one gateway that wait for tokens.
const MOST_WAITING: usize = 4;

/// Records of one write; the same as on the platform.
const MOST_CHANGES: usize = 15;

/// What the successor of a process takes for certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverRule {
    /// As in the product.
    ByAge,
    /// All standby tokens are given back, however old the presence record is.
    Everything,
    /// All working tokens are given back too.
    NoLimits,
}

/// The presence record of an instance, and how often it was written.
#[derive(Clone, Default)]
struct Presence {
    version: u64,
    incarnation: Option<IncarnationId>,
    written_at: Duration,
    working: BTreeMap<WorkspaceId, Allowance>,
}

struct PendingPresence {
    due: Duration,
    index: usize,
    presence: Presence,
}

struct PendingWrite {
    due: Duration,
    change: BudgetChange,
}

struct Process {
    book: GrantBook,
    incarnation: IncarnationId,
    presence_version: u64,
    /// The earlier process of the instance, until its grants are closed, and the age of its record at its end.
    ended: Option<(Presence, Duration)>,
    open: Vec<u64>,
    waiting: Vec<(u64, oneshot::Receiver<ReserveOutcome>)>,
    spent: u64,
}

/// The fleet and its store.
pub struct World {
    random: SmallRng,
    start: Instant,
    now: Duration,
    rule: TakeoverRule,
    workspace: WorkspaceId,
    record: BudgetRecord,
    version: u64,
    is_down: bool,
    pending: Vec<PendingWrite>,
    presences: Vec<Presence>,
    pending_presences: Vec<PendingPresence>,
    processes: Vec<Process>,
    spent_by_dead: u64,
    next_incarnation: u64,
}

impl World {
    pub fn new(seed: u64, rule: TakeoverRule) -> Self {
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            rule,
            workspace: "menders".parse().unwrap(),
            record: BudgetRecord::default(),
            version: 0,
            is_down: false,
            pending: Vec::new(),
            presences: vec![Presence::default(); GATEWAYS],
            pending_presences: Vec::new(),
            processes: Vec::new(),
            spent_by_dead: 0,
            next_incarnation: 1,
        };
        for _ in 0..GATEWAYS {
            let process = world.new_process(0);
            world.processes.push(process);
        }
        world
    }

    /// Tokens that were spent, or may have been, by all processes that ever ran.
    pub fn spent(&self) -> u64 {
        let alive =
            self.processes.iter().map(|process| process.spent + process.open.iter().sum::<u64>());
        self.spent_by_dead + alive.sum::<u64>()
    }

    /// Lets some time pass and something happen.
    pub fn step(&mut self) {
        self.now += Duration::from_millis(self.random.random_range(1..40));
        self.run_pending();
        let index = self.random.random_range(0..GATEWAYS);
        self.take_answers(index);
        match self.random.random_range(0..1_000) {
            0..500 => self.reserve(index),
            500..700 => self.settle(index),
            700..860 => self.call_store(index),
            860..920 => self.write_presence(index),
            920..980 => self.borrow(index),
            980..984 => self.is_down = !self.is_down,
            984..985 => self.restart(index),
            // Power is lost, and comes back after the store.
            987..988 => {
                self.is_down = false;
                (0..GATEWAYS).for_each(|index| self.restart(index));
            }
            988..990 => self.now += Duration::from_millis(self.random.random_range(100..4_000)),
            _ => {}
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn new_process(&mut self, presence_version: u64) -> Process {
        let incarnation = IncarnationId::from_number(self.next_incarnation);
        self.next_incarnation += 1;
        let mut book = GrantBook::new(incarnation);
        book.set_members(GATEWAYS);
        book.set_prepaid(&self.workspace, TokenCount(PREPAID), self.instant());
        Process {
            book,
            incarnation,
            presence_version,
            ended: None,
            open: Vec::new(),
            waiting: Vec::new(),
            spent: 0,
        }
    }

    fn reserve(&mut self, index: usize) {
        let need = self.random.random_range(20..400);
        let now = self.instant();
        let process = &mut self.processes[index];
        if process.book.try_reserve(&self.workspace, TokenCount(need), now) {
            process.open.push(need);
        } else if process.waiting.len() < MOST_WAITING {
            let reply = process.book.wait(&self.workspace, TokenCount(need), now);
            process.waiting.push((need, reply));
        }
    }

    /// Takes the answers of requests that waited.
    fn take_answers(&mut self, index: usize) {
        let now = self.instant();
        let process = &mut self.processes[index];
        process.book.answer_waiting(now);
        for (need, mut reply) in std::mem::take(&mut process.waiting) {
            match reply.try_recv() {
                Ok(Some(ReserveOutcome::Reserved)) => process.open.push(need),
                Ok(None) => process.waiting.push((need, reply)),
                Ok(Some(_)) | Err(_) => {}
            }
        }
    }

    fn settle(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(need) = process.open.pop() else { return };
        let spent = self.random.random_range(0..=need);
        process.spent += spent;
        process.book.settle(&self.workspace, TokenCount(need), TokenCount(spent));
    }

    fn call_store(&mut self, index: usize) {
        let now = self.instant();
        match self.processes[index].book.plan(MOST_CHANGES, now) {
            CommitPlan::Idle => self.processes[index].book.set_store_reached(!self.is_down),
            CommitPlan::Read => self.read(index),
            CommitPlan::Write(changes) => {
                let outcome = self.commit(&changes);
                let is_reached =
                    !matches!(outcome, CommitOutcome::NotApplied | CommitOutcome::Unknown);
                let process = &mut self.processes[index];
                process.book.apply(changes, outcome, now);
                process.book.set_store_reached(is_reached);
            }
        }
    }

    fn read(&mut self, index: usize) {
        if self.is_down {
            self.processes[index].book.set_store_reached(false);
            return;
        }
        let (now, entry) = (self.instant(), self.entry());
        self.processes[index].book.take_entries(vec![entry], now, true);
    }

    fn entry(&self) -> BudgetEntry {
        BudgetEntry {
            workspace: self.workspace.clone(),
            version: StoreVersion(self.version),
            record: self.record.clone(),
        }
    }

    fn commit(&mut self, changes: &[BudgetChange]) -> CommitOutcome {
        let change = changes[0].clone();
        let luck = self.random.random_range(0..100);
        if self.is_down || luck < 10 {
            // Some of the calls without an answer are done later, if their condition still holds.
            if luck % 2 == 0 {
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
        if luck < 20 {
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
        let due: Vec<_> = self.pending_presences.extract_if(.., |write| write.due <= now).collect();
        for write in due {
            if write.presence.version == self.presences[write.index].version + 1 {
                self.presences[write.index] = write.presence;
            }
        }
        let due: Vec<_> = self.pending.extract_if(.., |write| write.due <= now).collect();
        for write in due {
            if write.change.expected == StoreVersion(self.version) {
                self.write(write.change.record);
            }
        }
    }

    fn write_presence(&mut self, index: usize) {
        let (now, written_at) = (self.instant(), self.now);
        if !self.close_grants(index) {
            return;
        }
        let process = &mut self.processes[index];
        let expected = process.presence_version;
        let working = process.book.begin_presence(now);
        let incarnation = Some(process.incarnation);
        let presence = Presence { version: expected + 1, incarnation, written_at, working };
        let luck = self.random.random_range(0..20);
        if self.is_down || luck < 2 {
            // Some of the calls without an answer are done later, if their condition still holds.
            if luck % 2 == 0 {
                let due = self.now + Duration::from_millis(self.random.random_range(0..6_000));
                self.pending_presences.push(PendingPresence { due, index, presence });
            }
            return;
        }
        let current = self.presences[index].version;
        if current != expected {
            self.processes[index].presence_version = current;
            return;
        }
        self.presences[index] = presence;
        // The answer may be lost.
        if luck > 3 {
            self.processes[index].presence_version = expected + 1;
            self.processes[index].book.confirm_presence();
        }
    }

    fn borrow(&mut self, index: usize) {
        let lender = self.random.random_range(0..GATEWAYS);
        if lender == index {
            return;
        }
        let (now, wanted) = (self.instant(), TokenCount(self.random.random_range(20..600)));
        let lent = self.processes[lender].book.lend(&self.workspace, wanted, now);
        // The answer may be lost.
        if self.random.random_range(0..10) > 0 {
            self.processes[index].book.take_loan(&self.workspace, lent);
        }
    }

    /// A process dies with its requests open, all of which may have run to their end.
    fn restart(&mut self, index: usize) {
        self.now += Duration::from_millis(self.random.random_range(100..3_000));
        self.run_pending();
        let presence = self.presences[index].clone();
        let successor = self.new_process(presence.version);
        let dead = std::mem::replace(&mut self.processes[index], successor);
        self.spent_by_dead += dead.spent + dead.open.iter().sum::<u64>();
        if presence.incarnation.is_some() {
            let age = self.now - presence.written_at;
            self.processes[index].ended = Some((presence, age));
        }
    }

    /// Closes the grants of the earlier process. False if that must be tried again.
    fn close_grants(&mut self, index: usize) -> bool {
        let Some((presence, age)) = self.processes[index].ended.clone() else { return true };
        if self.is_down {
            return false;
        }
        let (working, age) = match self.rule {
            TakeoverRule::ByAge => (presence.working, age),
            TakeoverRule::Everything => (presence.working, Duration::ZERO),
            TakeoverRule::NoLimits => (BTreeMap::new(), age),
        };
        let Some(incarnation) = presence.incarnation else { return true };
        // The successor looks again until there is nothing more to close.
        for _ in 0..3 {
            for change in take_over(incarnation, vec![self.entry()], &working, age) {
                // The write requires that the presence record is unchanged.
                if self.presences[index].version == presence.version {
                    self.write(change.record);
                }
            }
        }
        self.processes[index].ended = None;
        true
    }
}
