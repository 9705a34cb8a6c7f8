use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

use super::TokenRate;

/// The tokens of one budget that a process holds, including spent ones. All other processes count all of them as spent.
#[domain_type]
#[derive(Copy, Default)]
pub struct HolderGrant {
    /// Tokens that the process may spend at any time.
    pub working: TokenCount,
    /// Tokens that the process may spend only while it cannot reach the store, and more of them the longer that lasts.
    /// Its presence record states since when.
    pub standby: TokenCount,
    /// The usage rate of the process when the grant was written. It determines how fast standby tokens become
    /// spendable, and the share of the budget that other processes leave to this one.
    pub use_rate: TokenRate,
}

impl HolderGrant {
    /// Returns the sum of working and standby tokens.
    pub fn total(self) -> TokenCount {
        self.working.saturating_add(self.standby)
    }

    /// Returns the minimum of each field. This is what may be used while it is unknown which of two grants is in
    /// effect.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            working: self.working.min(other.working),
            standby: self.standby.min(other.standby),
            use_rate: self.use_rate.min(other.use_rate),
        }
    }
}
