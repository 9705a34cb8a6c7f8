use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId};

use crate::{JournalSnapshot, JournalledBudget};

/// What all witnesses of a sealed incarnation had acknowledged, taken together.
#[domain_type]
pub struct SealReport {
    /// The sealed incarnation.
    pub incarnation: IncarnationId,
    longest: JournalSnapshot,
}

impl SealReport {
    /// The union of the journals, or nothing if there is none: without a witness nothing is sealed.
    ///
    /// All copies are prefixes of one log with one writer, since a witness refuses entries that leave a
    /// gap, so the longest copy contains the others.
    pub fn from_journals(journals: impl IntoIterator<Item = JournalSnapshot>) -> Option<Self> {
        let longest = journals.into_iter().max_by_key(|journal| journal.next)?;
        Some(Self { incarnation: longest.incarnation, longest })
    }

    /// What the incarnation has spent, and may yet spend, of a budget.
    pub fn journalled(&self, budget: &BudgetId) -> JournalledBudget {
        self.longest.budgets.get(budget).cloned().unwrap_or_default()
    }
}
