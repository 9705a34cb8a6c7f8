use bramleywind_macros::domain_type;

/// The faults that a [`MemoryStore`](crate::MemoryStore) shows. The default is none.
///
/// ```
/// use bramleywind_store::{MemoryStore, StoreFaults};
///
/// let store = MemoryStore::new();
/// store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
/// assert!(store.faults().outage);
/// ```
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call fails, and waiting watches end.
    pub outage: bool,
    /// Milliseconds that each call takes before it has an effect.
    pub delay_ms: u64,
    /// This many next writes are applied but reported as unknown. Counts down.
    pub lose_answers: u32,
    /// If not zero, each write is reported as unknown at once, and applied after this many milliseconds
    /// unless its compare-and-swap fails by then.
    pub apply_late_ms: u64,
    /// Reads and lists show the value before the latest write of each key.
    pub stale_reads: bool,
    /// Most reads, watches and lists a second; zero for no limit.
    pub reads_per_second: u32,
    /// Most writes and lease calls a second; zero for no limit.
    pub writes_per_second: u32,
}
