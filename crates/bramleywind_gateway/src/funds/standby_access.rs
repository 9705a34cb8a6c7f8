use std::time::Duration;

use bramleywind_types::TokenCount;

use super::{HolderGrant, StandbyRelease};

/// Whether a process may spend standby tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandbyAccess {
    /// None: the store answers, so working tokens are drawn.
    Closed,
    /// As many as are released at this age of the last presence record.
    Aged(Duration),
    /// All, for counting what the process holds.
    Open,
}

impl StandbyAccess {
    /// The standby tokens of a grant that may be spent.
    pub fn spendable(self, grant: HolderGrant) -> TokenCount {
        match self {
            Self::Closed => TokenCount(0),
            Self::Aged(age) => StandbyRelease::new(grant).spendable(age),
            Self::Open => grant.standby,
        }
    }
}
