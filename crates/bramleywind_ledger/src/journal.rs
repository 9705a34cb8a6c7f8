//! The journal of one incarnation. Its types are only used together, so they stand in one file.

use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, RequestKey, TokenCount};

/// One change of a holder's account.
#[domain_type]
pub enum JournalEntry {
    /// Tokens were reserved for a request or a loan. The entry's own sequence number names the reservation.
    Reserve {
        /// The budget that pays.
        budget: BudgetId,
        /// How much may be spent.
        tokens: TokenCount,
        /// The key of the request, if its caller gave one.
        key: Option<RequestKey>,
    },
    /// A reservation was settled.
    Settle {
        /// The sequence number of the reservation's entry.
        reservation: JournalSequence,
        /// What was billed; at most what was reserved.
        billed: TokenCount,
    },
}

/// Consecutive entries of one incarnation's journal.
#[domain_type]
pub struct JournalBatch {
    /// Whose journal it is.
    pub incarnation: IncarnationId,
    /// The sequence number of the first entry.
    pub first: JournalSequence,
    /// The entries.
    pub entries: Vec<JournalEntry>,
}

/// The state that a journal adds up to.
#[domain_type]
pub struct JournalSnapshot {
    /// Whose journal it is.
    pub incarnation: IncarnationId,
    /// The sequence number that the next entry will have.
    pub next: JournalSequence,
    /// The state of each budget that the incarnation has used.
    pub budgets: BTreeMap<BudgetId, JournalledBudget>,
}

/// What an incarnation has spent, and may yet spend, of one budget.
#[domain_type]
#[derive(Default)]
pub struct JournalledBudget {
    /// The sum of the bills.
    pub settled: TokenCount,
    /// The reservations that are not settled, by sequence number.
    pub open: BTreeMap<JournalSequence, OpenReservation>,
}

/// A reservation that is not settled.
#[domain_type]
pub struct OpenReservation {
    /// How much may be spent.
    pub tokens: TokenCount,
    /// The key of the request, if its caller gave one.
    pub key: Option<RequestKey>,
}

impl JournalSnapshot {
    /// The state of a journal without entries.
    pub fn empty(incarnation: IncarnationId) -> Self {
        Self { incarnation, next: JournalSequence(0), budgets: BTreeMap::new() }
    }

    /// Adds the entry that has the sequence number `next`. Returns whether it changed a balance: settling
    /// what is not open does not.
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
