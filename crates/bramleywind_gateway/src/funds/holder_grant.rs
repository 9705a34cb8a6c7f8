use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

use super::TokenRate;

/// The tokens of one budget that a process holds, spent ones included. All of them count as spent for everyone else.
#[domain_type]
#[derive(Copy, Default)]
pub struct HolderGrant {
    /// Tokens that the process may spend at any time.
    pub working: TokenCount,
    /// Tokens that it may spend only after it has been out of reach of the store for a while, more of them the longer
    /// that lasts. Its presence record tells since when.
    pub standby: TokenCount,
    /// The process's own use when the grant was written. It decides how fast standby tokens become spendable, and what part
    /// of the budget the others leave to this process.
    pub use_rate: TokenRate,
}

impl HolderGrant {
    /// Both parts.
    pub fn total(self) -> TokenCount {
        self.working.saturating_add(self.standby)
    }

    /// The smaller of each part: what may be used while it is unknown which of two grants is in force.
    pub fn least(self, other: Self) -> Self {
        Self {
            working: self.working.min(other.working),
            standby: self.standby.min(other.standby),
            use_rate: self.use_rate.min(other.use_rate),
        }
    }
}
