use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, TokenCount};

use super::HolderGrant;

/// The durable record of one workspace's budget: the grants of all processes.
///
/// ```
/// use bramleywind_gateway::funds::{BudgetRecord, HolderGrant, TokenRate};
/// use bramleywind_types::{IncarnationId, TokenCount};
///
/// let mut record = BudgetRecord::default();
/// let grant = HolderGrant {
///     working: TokenCount(20),
///     standby: TokenCount(40),
///     use_rate: TokenRate(5),
/// };
/// record.set_grant(IncarnationId::from_number(1), grant);
/// assert_eq!(record.pool(TokenCount(100)), TokenCount(40));
/// ```
#[domain_type]
#[derive(Default)]
pub struct BudgetRecord {
    grants: BTreeMap<IncarnationId, HolderGrant>,
}

impl BudgetRecord {
    /// Returns the current grant of a process, excluding tokens that it returned.
    pub fn grant(&self, holder: IncarnationId) -> HolderGrant {
        self.grants.get(&holder).copied().unwrap_or_default()
    }

    /// Replaces the grant of a process. Only that process or its successor on the same instance may do this.
    pub fn set_grant(&mut self, holder: IncarnationId, grant: HolderGrant) {
        if grant.total() == TokenCount(0) {
            self.grants.remove(&holder);
        } else {
            self.grants.insert(holder, grant);
        }
    }

    /// Iterates over the grants of all processes except `holder`.
    pub fn others(&self, holder: IncarnationId) -> impl Iterator<Item = HolderGrant> + '_ {
        self.grants.iter().filter(move |(other, _)| **other != holder).map(|(_, grant)| *grant)
    }

    /// Returns the tokens of a prepaid total that are not granted. Zero if the total was lowered below the granted
    /// tokens.
    pub fn pool(&self, prepaid: TokenCount) -> TokenCount {
        prepaid.saturating_sub(self.grants.values().map(|grant| grant.total()).sum())
    }
}
