use std::collections::VecDeque;

use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, TokenCount};

use crate::{JournalBatch, JournalEntry, JournalSnapshot};

/// The most entries in one message. With the longest ids these take 300 KB, which fits a frame of 1 MiB.
const MAX_BATCH_ENTRIES: usize = 1_000;
/// The most entries that are kept for lagging witnesses. A witness that lags further gets a snapshot.
const MAX_TAIL_ENTRIES: usize = 4_000;

/// The journal of this router's own incarnation.
#[derive(Debug)]
pub(crate) struct HolderJournal {
    state: JournalSnapshot,
    /// The most recent entries. The last one has the sequence number before `state.next`.
    tail: VecDeque<JournalEntry>,
}

impl HolderJournal {
    pub(crate) fn new(incarnation: IncarnationId) -> Self {
        Self { state: JournalSnapshot::empty(incarnation), tail: VecDeque::new() }
    }

    /// Returns the sequence number that the next entry will have.
    pub(crate) fn next_sequence(&self) -> JournalSequence {
        self.state.next
    }

    pub(crate) fn snapshot(&self) -> &JournalSnapshot {
        &self.state
    }

    /// Appends an entry and returns its sequence number.
    pub(crate) fn push(&mut self, entry: JournalEntry) -> JournalSequence {
        let sequence = self.state.next;
        self.state.apply(&entry);
        self.tail.push_back(entry);
        if self.tail.len() > MAX_TAIL_ENTRIES {
            self.tail.pop_front();
        }
        sequence
    }

    /// Returns the tokens of a reservation, or `None` if it is not open.
    pub(crate) fn open_tokens(
        &self,
        budget: &BudgetId,
        sequence: JournalSequence,
    ) -> Option<TokenCount> {
        let open = &self.state.budgets.get(budget)?.open;
        open.get(&sequence).map(|reservation| reservation.tokens)
    }

    /// Returns the budget of a reservation, or `None` if it is not open.
    pub(crate) fn budget_of(&self, sequence: JournalSequence) -> Option<&BudgetId> {
        let mut budgets = self.state.budgets.iter();
        budgets.find(|(_, budget)| budget.open.contains_key(&sequence)).map(|(id, _)| id)
    }

    /// Returns the entries from `first` on, up to the limit of one message, or `None` if the first of them
    /// is no longer kept.
    pub(crate) fn batch_from(&self, first: JournalSequence) -> Option<JournalBatch> {
        let missing = self.state.next.0.checked_sub(first.0)? as usize;
        let start = self.tail.len().checked_sub(missing)?;
        let entries = self.tail.range(start..).take(MAX_BATCH_ENTRIES).cloned().collect();
        Some(JournalBatch { incarnation: self.state.incarnation, first, entries })
    }
}
