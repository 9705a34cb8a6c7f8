use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

use super::TokenRate;

/// The tokens of one budget that a process holds. All of them count as spent for everyone else.
#[domain_type]
#[derive(Copy, Default)]
pub struct HolderGrant {
    /// All tokens that the process may spend, spent ones included. How many of them it may have spent at any time is in its
    /// presence record.
    pub total: TokenCount,
    /// Those that were unspent when this was written; what the others take for what is left depends on it, and nothing else.
    pub unspent: TokenCount,
    /// The process's own use when this was written. It decides what part of the budget the others leave to this process.
    pub use_rate: TokenRate,
}

impl HolderGrant {
    /// The grant of a process that has ended, all of which counts as spent.
    pub fn closed(total: TokenCount) -> Self {
        Self { total, ..Self::default() }
    }

    /// Whether it is one of those. It must not be closed again: what was released before is no longer seen.
    pub fn is_closed(self) -> bool {
        self == Self::closed(self.total)
    }

    /// What may be used while it is unknown which of two grants is in force.
    pub fn least(self, other: Self) -> Self {
        Self {
            total: self.total.min(other.total),
            unspent: self.unspent.min(other.unspent),
            use_rate: self.use_rate.min(other.use_rate),
        }
    }
}
