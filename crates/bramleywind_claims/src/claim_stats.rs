use bramleywind_macros::domain_type;

/// Counters of one [`crate::ClaimKeeper`], for metrics and dumps.
#[domain_type]
#[derive(Copy, Default)]
pub struct ClaimStats {
    /// Claims that were opened by this process.
    pub opened: u64,
    /// Reads of claim pages.
    pub reads: u64,
    /// Compare-and-swaps of claim pages.
    pub writes: u64,
    /// Compare-and-swaps that another writer won.
    pub conflicts: u64,
    /// Compare-and-swaps whose answer was lost.
    pub unknown_writes: u64,
    /// Pages that were not valid JSON.
    pub page_errors: u64,
    /// Claims of this process that are open, or whose last change is not stored yet.
    pub live: u64,
}
