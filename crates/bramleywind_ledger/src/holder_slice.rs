use std::time::Instant;

use bramleywind_types::TokenCount;

/// The holder's own view of its slice of a budget. All counts are cumulative over the life of the slice.
#[derive(Debug, Clone)]
pub(crate) struct HolderSlice {
    /// The grant that the holder can rely on. It is lowered before each write that may lower the stored
    /// grant, and raised only by a page that none of this router's pending writes can still replace.
    pub(crate) usable: TokenCount,
    /// The sum of the settled bills.
    pub(crate) settled: TokenCount,
    /// The sum of the open reservations.
    pub(crate) open: TokenCount,
    /// The settled count that the page shows.
    pub(crate) recorded_settled: TokenCount,
    pub(crate) last_used: Instant,
    /// Whether the unused part is to be returned to the pool.
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

    /// Returns the tokens that are settled or reserved.
    pub(crate) fn committed(&self) -> TokenCount {
        self.settled.saturating_add(self.open)
    }

    /// Returns the tokens that can still be reserved.
    pub(crate) fn available(&self) -> TokenCount {
        self.usable.saturating_sub(self.committed())
    }
}
