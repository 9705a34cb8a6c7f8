use bramleywind_macros::domain_type;

/// The numbers of calls that a [`MemoryStore`](crate::MemoryStore) has received, including refused ones.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default)]
pub struct CallCounters {
    /// Reads of single keys.
    pub reads: u64,
    /// Compare-and-swap writes.
    pub writes: u64,
    /// Watches, each counted once regardless of how long it waits.
    pub watches: u64,
    /// Listings.
    pub lists: u64,
    /// Acquisitions, renewals and releases of leases.
    pub lease_calls: u64,
    /// Calls refused because of a rate limit. They are also counted under their kind.
    pub rate_refusals: u64,
    /// Watches that are currently waiting.
    pub waiting_watches: u64,
}

impl CallCounters {
    /// Returns the number of calls that count against the store's rate limits.
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches + self.lists + self.lease_calls
    }
}
