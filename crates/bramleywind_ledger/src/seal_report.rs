use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId};

use crate::{JournalSnapshot, JournalledBudget};

/// The combined journal of a sealed incarnation: all entries that any of its witnesses acknowledged.
#[domain_type]
pub struct SealReport {
    /// The sealed incarnation.
    pub incarnation: IncarnationId,
    longest: JournalSnapshot,
}

impl SealReport {
    /// Combines the witnesses' copies of a journal. Returns `None` without any copy, since an incarnation
    /// can only be sealed at a witness.
    ///
    /// The log has one writer, and a witness rejects entries that leave a gap, so all copies are prefixes of
    /// the log and the longest one contains the others.
    pub fn from_journals(journals: impl IntoIterator<Item = JournalSnapshot>) -> Option<Self> {
        let longest = journals.into_iter().max_by_key(|journal| journal.next)?;
        Some(Self { incarnation: longest.incarnation, longest })
    }

    /// Returns what the incarnation has spent and reserved of a budget.
    pub fn journalled(&self, budget: &BudgetId) -> JournalledBudget {
        self.longest.budgets.get(budget).cloned().unwrap_or_default()
    }
}
