use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId};

use crate::{BudgetRecord, SealReport};

/// The value of one budget page in the store, serialized as JSON.
///
/// ```
/// use bramleywind_ledger::BudgetPage;
/// use bramleywind_types::{ConfigRevision, TokenCount};
///
/// let mut page = BudgetPage::default();
/// let record = page.budgets.entry("spring-season".parse().unwrap()).or_default();
/// record.set_base(ConfigRevision(1), TokenCount(500));
/// assert_eq!(BudgetPage::from_bytes(&page.to_bytes()).unwrap(), page);
/// ```
#[domain_type]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetPage {
    /// The budgets whose ids hash to this page.
    pub budgets: BTreeMap<BudgetId, BudgetRecord>,
}

impl BudgetPage {
    /// Parses a store value.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a budget page in the current format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Serializes the page to a store value.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("budget pages have string keys only")
    }

    /// Returns whether any budget has a slice of the incarnation.
    pub fn has_slice(&self, incarnation: IncarnationId) -> bool {
        self.budgets.values().any(|record| record.slices.contains_key(&incarnation))
    }

    /// Closes all slices of a sealed incarnation and returns whether there were any.
    pub fn close_sealed_slices(&mut self, report: &SealReport) -> bool {
        let mut closed = false;
        for (budget, record) in &mut self.budgets {
            closed |= record.close_sealed_slice(report.incarnation, &report.journalled(budget));
        }
        closed
    }
}
