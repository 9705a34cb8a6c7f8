use std::time::Instant;

use bramleywind_types::TokenCount;

/// A slice as its holder sees it. All counts are cumulative within the slice.
#[derive(Debug, Clone)]
pub(crate) struct HolderSlice {
    /// What the store is known to grant, lowered before each write that may lower it. It is raised only by
    /// a page that no write of ours can still replace.
    pub(crate) usable: TokenCount,
    pub(crate) settled: TokenCount,
    pub(crate) open: TokenCount,
    /// What the page shows as settled.
    pub(crate) recorded_settled: TokenCount,
    pub(crate) last_used: Instant,
    /// The unused part shall go back to the pool.
    pub(crate) is_returning_surplus: bool,
}

impl HolderSlice {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            usable: TokenCount(0),
            settled: TokenCount(0),
            open: TokenCount(0),
            recorded_settled: TokenCount(0),
            last_used: now,
            is_returning_surplus: false,
        }
    }

    pub(crate) fn committed(&self) -> TokenCount {
        self.settled.saturating_add(self.open)
    }

    pub(crate) fn available(&self) -> TokenCount {
        self.usable.saturating_sub(self.committed())
    }
}
