use std::collections::BTreeMap;

use bramleywind_types::{IncarnationId, JournalSequence};

use crate::{AppendOutcome, JournalBatch, JournalEntry, JournalSnapshot, SealOutcome, WitnessId};

/// The most journals that a witness keeps, including sealed ones. A sealed journal is never dropped, because
/// the incarnation could then start a new one. With 380 restarts a day over 380 routers and two witnesses
/// each, a router receives two journals a day, so it would reach the limit after 20 years without a restart.
const MAX_JOURNALS: usize = 16_384;
/// The most open reservations that a witness keeps for one incarnation: 20 times the requests that a
/// router of the target size starts in a minute.
const MAX_OPEN_RESERVATIONS: usize = 100_000;

/// Stores copies of other routers' journals, for which this process is a witness.
///
/// At a limit, the store answers as if it were unreachable, so the holder chooses another witness. It never
/// drops an acknowledged entry.
#[derive(Debug)]
pub struct WitnessStore {
    id: WitnessId,
    journals: BTreeMap<IncarnationId, JournalReplica>,
}

/// A copy of one incarnation's journal.
#[derive(Debug)]
struct JournalReplica {
    snapshot: JournalSnapshot,
    /// The number of open reservations in all budgets.
    open: usize,
    sealed: bool,
}

impl WitnessStore {
    /// Creates an empty store for this process run.
    pub fn new(id: WitnessId) -> Self {
        Self { id, journals: BTreeMap::new() }
    }

    /// Returns the identity of this process run as a witness.
    pub fn id(&self) -> &WitnessId {
        &self.id
    }

    /// Returns the number of stored journals.
    pub fn len(&self) -> usize {
        self.journals.len()
    }

    /// Returns whether no journal is stored.
    pub fn is_empty(&self) -> bool {
        self.journals.is_empty()
    }

    /// Appends entries to a journal. Entries that are stored already are skipped, so a repeated message has
    /// no effect. A batch that leaves a gap is rejected, so each copy is a prefix of the holder's log.
    pub fn append(&mut self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome {
        if *witness != self.id {
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

    /// Replaces a journal by a snapshot. A snapshot that is older than the stored journal has no effect,
    /// because both are prefixes of one log and an acknowledged entry must not be lost.
    pub fn install_snapshot(
        &mut self,
        witness: &WitnessId,
        snapshot: &JournalSnapshot,
    ) -> AppendOutcome {
        if *witness != self.id {
            return AppendOutcome::WrongRun;
        }
        let is_full = self.journals.len() >= MAX_JOURNALS;
        let open = snapshot.budgets.values().map(|budget| budget.open.len()).sum();
        match self.journals.get_mut(&snapshot.incarnation) {
            Some(journal) if journal.sealed => AppendOutcome::Sealed,
            Some(journal) if journal.snapshot.next >= snapshot.next => AppendOutcome::Accepted,
            None if is_full => AppendOutcome::Unreachable,
            _ if open > MAX_OPEN_RESERVATIONS => AppendOutcome::Unreachable,
            _ => {
                let journal = JournalReplica { snapshot: snapshot.clone(), open, sealed: false };
                self.journals.insert(snapshot.incarnation, journal);
                AppendOutcome::Accepted
            }
        }
    }

    /// Seals an incarnation permanently and returns its journal. An unknown incarnation is sealed too, since
    /// its first entry may still be in transit. Sealing again returns the same journal.
    pub fn seal(&mut self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome {
        if *witness != self.id {
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
        let already_stored = (self.snapshot.next.0 - batch.first.0) as usize;
        let fresh = batch.entries.get(already_stored..).unwrap_or_default();
        let is_reserve = |entry: &&JournalEntry| matches!(entry, JournalEntry::Reserve { .. });
        if self.open + fresh.iter().filter(is_reserve).count() > MAX_OPEN_RESERVATIONS {
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
