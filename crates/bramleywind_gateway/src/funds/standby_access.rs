use std::time::Duration;

use bramleywind_types::TokenCount;

use super::{Allowance, HolderGrant, StandbyRelease};

/// Whether a process may spend standby tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandbyAccess {
    /// None: the store answers, so the working limit is raised instead.
    Closed,
    /// As many as are released at this age of the last presence record.
    Aged(Duration),
    /// All, for counting what the process holds.
    Open,
}

impl StandbyAccess {
    /// The tokens of a grant that may be spent, spent ones included.
    pub fn spendable(self, grant: HolderGrant, allowance: Allowance) -> TokenCount {
        match self {
            Self::Closed => grant.total.min(allowance.working),
            Self::Aged(age) => StandbyRelease::new(grant, allowance).spendable(age),
            Self::Open => grant.total,
        }
    }
}
