use bramleywind_macros::domain_type;

/// How many calls a [`MemoryStore`](crate::MemoryStore) has received, refused ones included.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default)]
pub struct CallCounters {
    /// Reads of one key.
    pub reads: u64,
    /// Compare-and-swap writes.
    pub writes: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
    /// Listings.
    pub lists: u64,
    /// Acquisitions, renewals and releases of leases.
    pub lease_calls: u64,
    /// Calls refused for a rate limit, also counted under their kind.
    pub rate_refusals: u64,
    /// Watches that wait at this moment.
    pub waiting_watches: u64,
}

impl CallCounters {
    /// All calls that count against the store's rates.
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.watches + self.lists + self.lease_calls
    }
}
