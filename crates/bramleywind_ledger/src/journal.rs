//! The journal of one incarnation. These types are only used together, so they share a file.

use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, RequestKey, TokenCount};

/// One reservation or settlement of a slice holder.
#[domain_type]
pub enum JournalEntry {
    /// Tokens were reserved for a request or a loan. The sequence number of this entry identifies the
    /// reservation.
    Reserve {
        /// The budget that is charged.
        budget: BudgetId,
        /// The most that may be billed.
        tokens: TokenCount,
        /// The key of the request, if its caller gave one.
        key: Option<RequestKey>,
    },
    /// A reservation was settled.
    Settle {
        /// The sequence number of the reservation's entry.
        reservation: JournalSequence,
        /// The billed tokens, at most the reserved ones.
        billed: TokenCount,
    },
}

/// A run of consecutive entries of one incarnation's journal.
#[domain_type]
pub struct JournalBatch {
    /// The incarnation that writes the journal.
    pub incarnation: IncarnationId,
    /// The sequence number of the first entry.
    pub first: JournalSequence,
    /// The entries in journal order.
    pub entries: Vec<JournalEntry>,
}

/// The state after all entries of a journal up to a sequence number.
#[domain_type]
pub struct JournalSnapshot {
    /// The incarnation that writes the journal.
    pub incarnation: IncarnationId,
    /// The sequence number that the next entry will have.
    pub next: JournalSequence,
    /// The state of each budget that the incarnation has used.
    pub budgets: BTreeMap<BudgetId, JournalledBudget>,
}

/// What an incarnation has spent and reserved of one budget.
#[domain_type]
#[derive(Default)]
pub struct JournalledBudget {
    /// The sum of the settled bills.
    pub settled: TokenCount,
    /// The reservations that are not settled, keyed by sequence number.
    pub open: BTreeMap<JournalSequence, OpenReservation>,
}

/// A reservation that is not settled.
#[domain_type]
pub struct OpenReservation {
    /// The most that may be billed.
    pub tokens: TokenCount,
    /// The key of the request, if its caller gave one.
    pub key: Option<RequestKey>,
}

impl JournalSnapshot {
    /// Creates the state of a journal without entries.
    pub fn empty(incarnation: IncarnationId) -> Self {
        Self { incarnation, next: JournalSequence(0), budgets: BTreeMap::new() }
    }

    /// Applies the entry with the sequence number `next`. Returns whether it changed a balance, which a
    /// settlement of a reservation that is not open does not.
    pub fn apply(&mut self, entry: &JournalEntry) -> bool {
        let sequence = self.next;
        self.next = sequence.next();
        match entry {
            JournalEntry::Reserve { budget, tokens, key } => {
                let reservation = OpenReservation { tokens: *tokens, key: key.clone() };
                self.budgets.entry(budget.clone()).or_default().open.insert(sequence, reservation);
                true
            }
            JournalEntry::Settle { reservation, billed } => {
                let is_open =
                    |budget: &&mut JournalledBudget| budget.open.contains_key(reservation);
                let Some(budget) = self.budgets.values_mut().find(is_open) else { return false };
                budget.open.remove(reservation);
                budget.settled = budget.settled.saturating_add(*billed);
                true
            }
        }
    }
}
