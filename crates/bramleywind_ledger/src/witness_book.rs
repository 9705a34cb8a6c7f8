use std::collections::BTreeMap;

use bramleywind_types::{IncarnationId, JournalSequence};

use crate::{AppendOutcome, JournalBatch, JournalEntry, JournalSnapshot, SealOutcome, WitnessId};

/// How many journals a witness keeps, sealed ones included. A sealed journal is never dropped, because its
/// absence would let the incarnation begin anew. With 380 restarts a day over 380 routers and two witnesses
/// each, a router takes on two a day, so the bound is reached after 20 years without a restart.
const MAX_JOURNALS: usize = 16_384;
/// How many open reservations a witness keeps for one incarnation: 20 times the requests that one router of
/// the target size starts in a minute.
const MAX_OPEN: usize = 100_000;

/// The journals that this process keeps as a witness of other routers.
///
/// When a bound is reached, the book refuses as if it were unreachable, so that the holder chooses another
/// witness; it never forgets what it acknowledged.
#[derive(Debug)]
pub struct WitnessStore {
    own: WitnessId,
    journals: BTreeMap<IncarnationId, JournalReplica>,
}

#[derive(Debug)]
struct JournalReplica {
    snapshot: JournalSnapshot,
    open: usize,
    sealed: bool,
}

impl WitnessStore {
    /// An empty book of the process run that `own` names.
    pub fn new(own: WitnessId) -> Self {
        Self { own, journals: BTreeMap::new() }
    }

    /// The witness that this book stands for.
    pub fn own(&self) -> &WitnessId {
        &self.own
    }

    /// How many journals the book holds.
    pub fn len(&self) -> usize {
        self.journals.len()
    }

    /// Whether the book holds no journal.
    pub fn is_empty(&self) -> bool {
        self.journals.is_empty()
    }

    /// Adds entries to a journal. Entries that are held already are skipped, so a repeated message is
    /// harmless; a batch after a gap is refused, so that each copy is a prefix of the holder's log.
    pub fn append(&mut self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        if *witness != self.own {
            return AppendOutcome::WrongRun;
        }
        let is_full = self.journals.len() >= MAX_JOURNALS;
        let Some(journal) = self.journals.get_mut(&batch.incarnation) else {
            if batch.first != JournalSequence(0) {
                return AppendOutcome::Gap { expected: JournalSequence(0) };
            }
            if is_full {
                return AppendOutcome::Unreachable;
            }
            let journal = self
                .journals
                .entry(batch.incarnation)
                .or_insert_with(|| JournalReplica::empty(batch.incarnation));
            return journal.append(batch);
        };
        if journal.sealed {
            return AppendOutcome::Sealed;
        }
        if batch.first > journal.snapshot.next {
            return AppendOutcome::Gap { expected: journal.snapshot.next };
        }
        journal.append(batch)
    }

    /// Takes over the state of a journal. An older state than the held one changes nothing: both are
    /// prefixes of one log, and an acknowledged entry must not be lost.
    pub fn snapshot(&mut self, witness: &WitnessId, snapshot: &JournalSnapshot) -> AppendOutcome {
        if *witness != self.own {
            return AppendOutcome::WrongRun;
        }
        let is_full = self.journals.len() >= MAX_JOURNALS;
        let open = snapshot.budgets.values().map(|budget| budget.open.len()).sum();
        match self.journals.get_mut(&snapshot.incarnation) {
            Some(journal) if journal.sealed => AppendOutcome::Sealed,
            Some(journal) if journal.snapshot.next >= snapshot.next => AppendOutcome::Accepted,
            None if is_full => AppendOutcome::Unreachable,
            _ if open > MAX_OPEN => AppendOutcome::Unreachable,
            _ => {
                let journal = JournalReplica { snapshot: snapshot.clone(), open, sealed: false };
                self.journals.insert(snapshot.incarnation, journal);
                AppendOutcome::Accepted
            }
        }
    }

    /// Seals an incarnation for good, also one that the book has not heard of: its first entry may be on
    /// the way. Repeated seals return the same state.
    pub fn seal(&mut self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        if *witness != self.own {
            return SealOutcome::WrongRun;
        }
        if self.journals.len() >= MAX_JOURNALS && !self.journals.contains_key(&incarnation) {
            return SealOutcome::Unreachable;
        }
        let journal =
            self.journals.entry(incarnation).or_insert_with(|| JournalReplica::empty(incarnation));
        journal.sealed = true;
        SealOutcome::Sealed(journal.snapshot.clone())
    }
}

impl JournalReplica {
    fn empty(incarnation: IncarnationId) -> Self {
        Self { snapshot: JournalSnapshot::empty(incarnation), open: 0, sealed: false }
    }

    fn append(&mut self, batch: &JournalBatch) -> AppendOutcome {
        let held = (self.snapshot.next.0 - batch.first.0) as usize;
        let fresh = batch.entries.get(held..).unwrap_or_default();
        let is_reserve = |entry: &&JournalEntry| matches!(entry, JournalEntry::Reserve { .. });
        if self.open + fresh.iter().filter(is_reserve).count() > MAX_OPEN {
            return AppendOutcome::Unreachable;
        }
        for entry in fresh {
            match (self.snapshot.apply(entry), entry) {
                (true, JournalEntry::Reserve { .. }) => self.open += 1,
                (true, JournalEntry::Settle { .. }) => self.open -= 1,
                (false, _) => {}
            }
        }
        AppendOutcome::Accepted
    }
}
