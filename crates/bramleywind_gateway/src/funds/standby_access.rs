use std::time::Duration;

use bramleywind_types::TokenCount;

use super::{HolderGrant, StandbyRelease};

/// The extent to which a process may spend standby tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandbyAccess {
    /// No standby tokens may be spent. The store answers, so working tokens are obtained instead.
    Closed,
    /// The standby tokens that are released at this age of the last presence record may be spent.
    Aged(Duration),
    /// All standby tokens are included, to count what the process holds.
    Open,
}

impl StandbyAccess {
    /// Returns the standby tokens of a grant that may be spent.
    pub fn spendable(self, grant: HolderGrant) -> TokenCount {
        match self {
            Self::Closed => TokenCount(0),
            Self::Aged(age) => StandbyRelease::new(grant).spendable(age),
            Self::Open => grant.standby,
        }
    }
}
