use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, TokenCount};

/// The durable record of one workspace's budget: the net tokens that each process was granted.
///
/// ```
/// use bramleywind_gateway::funds::BudgetRecord;
/// use bramleywind_types::{IncarnationId, TokenCount};
///
/// let mut record = BudgetRecord::default();
/// record.set_grant(IncarnationId::from_number(1), TokenCount(40));
/// record.set_grant(IncarnationId::from_number(2), TokenCount(20));
/// assert_eq!(record.pool(TokenCount(100)), TokenCount(40));
/// ```
#[domain_type]
#[derive(Default)]
pub struct BudgetRecord {
    grants: BTreeMap<IncarnationId, TokenCount>,
}

impl BudgetRecord {
    /// The tokens that a process was granted, less those that it gave back.
    pub fn grant(&self, holder: IncarnationId) -> TokenCount {
        self.grants.get(&holder).copied().unwrap_or_default()
    }

    /// Replaces a process's grant. Only that process may call this.
    pub fn set_grant(&mut self, holder: IncarnationId, granted: TokenCount) {
        if granted == TokenCount::default() {
            self.grants.remove(&holder);
        } else {
            self.grants.insert(holder, granted);
        }
    }

    /// What is left of a prepaid total. Zero if the total was lowered below what is granted.
    pub fn pool(&self, prepaid: TokenCount) -> TokenCount {
        prepaid.saturating_sub(self.grants.values().copied().sum())
    }

    /// How many processes hold or held a grant.
    pub fn holder_count(&self) -> usize {
        self.grants.len()
    }
}
