use std::collections::VecDeque;

use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, TokenCount};

use crate::{JournalBatch, JournalEntry, JournalSnapshot};

/// How many entries one message carries: 300 KB with the longest ids, within a frame of 1 MiB.
const MAX_BATCH: usize = 1_000;
/// How many entries are kept for a witness that lags; beyond them it gets a snapshot.
const MAX_TAIL: usize = 4_000;

/// The journal of this router's own incarnation.
#[derive(Debug)]
pub(crate) struct HolderJournal {
    state: JournalSnapshot,
    /// The last entries, the newest of which has the sequence number before `state.next`.
    tail: VecDeque<JournalEntry>,
}

impl HolderJournal {
    pub(crate) fn new(incarnation: IncarnationId) -> Self {
        Self { state: JournalSnapshot::empty(incarnation), tail: VecDeque::new() }
    }

    pub(crate) fn next_sequence(&self) -> JournalSequence {
        self.state.next
    }

    pub(crate) fn snapshot(&self) -> &JournalSnapshot {
        &self.state
    }

    pub(crate) fn push(&mut self, entry: JournalEntry) -> JournalSequence {
        let sequence = self.state.next;
        self.state.apply(&entry);
        self.tail.push_back(entry);
        if self.tail.len() > MAX_TAIL {
            self.tail.pop_front();
        }
        sequence
    }

    /// What an open reservation covers.
    pub(crate) fn open_tokens(
        &self,
        budget: &BudgetId,
        sequence: JournalSequence,
    ) -> Option<TokenCount> {
        let open = &self.state.budgets.get(budget)?.open;
        open.get(&sequence).map(|reservation| reservation.tokens)
    }

    /// The budget of an open reservation.
    pub(crate) fn budget_of(&self, sequence: JournalSequence) -> Option<&BudgetId> {
        let mut budgets = self.state.budgets.iter();
        budgets.find(|(_, budget)| budget.open.contains_key(&sequence)).map(|(id, _)| id)
    }

    /// The entries from `first` on, or nothing if they are no longer kept.
    pub(crate) fn batch_from(&self, first: JournalSequence) -> Option<JournalBatch> {
        let missing = self.state.next.0.checked_sub(first.0)? as usize;
        let start = self.tail.len().checked_sub(missing)?;
        let entries = self.tail.range(start..).take(MAX_BATCH).cloned().collect();
        Some(JournalBatch { incarnation: self.state.incarnation, first, entries })
    }
}
