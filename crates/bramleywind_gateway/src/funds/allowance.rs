use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

use super::TokenRate;

/// What a process may spend of its grant of one budget, as its presence record has it.
#[domain_type]
#[derive(Copy, Default)]
pub struct Allowance {
    /// Tokens that may be spent at any time, spent ones included.
    pub working: TokenCount,
    /// The process's own use. It decides how fast the other tokens of the grant become spendable as the record ages.
    pub use_rate: TokenRate,
}

impl Allowance {
    /// What may be spent while it is unknown which of two is in force.
    pub fn least(self, other: Self) -> Self {
        Self {
            working: self.working.min(other.working),
            use_rate: self.use_rate.min(other.use_rate),
        }
    }
}
