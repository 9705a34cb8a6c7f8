use bramleywind_macros::domain_type;

/// The counters of a [`crate::ClaimKeeper`], for metrics and state dumps.
#[domain_type]
#[derive(Copy, Default)]
pub struct ClaimStats {
    /// Claims opened by this process.
    pub opened: u64,
    /// Reads of claim pages.
    pub reads: u64,
    /// Compare-and-swaps of claim pages.
    pub writes: u64,
    /// Compare-and-swaps that failed because another writer changed the page first.
    pub conflicts: u64,
    /// Compare-and-swaps whose result is unknown, because the answer was lost.
    pub unknown_writes: u64,
    /// Reads of pages that were not valid JSON.
    pub page_errors: u64,
    /// Claims of this process that are open, or whose last change has not been stored yet.
    pub live: u64,
}
