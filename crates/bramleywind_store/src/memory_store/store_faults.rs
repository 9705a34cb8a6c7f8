use bramleywind_macros::domain_type;

/// The faults that a [`MemoryStore`](crate::MemoryStore) injects. The default is none.
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
    /// If set, every call fails and waiting watches end.
    pub outage: bool,
    /// The delay of each call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The number of upcoming writes that are applied but reported as unknown. Decreases with each such write.
    pub lose_answers: u32,
    /// If not zero, each write is reported as unknown immediately and applied after this many milliseconds,
    /// unless the key's version has changed by then.
    pub apply_late_ms: u64,
    /// If set, reads and lists return the value before the latest write of each key.
    pub stale_reads: bool,
    /// The maximum reads, watches and lists per second; zero for no limit.
    pub reads_per_second: u32,
    /// The maximum writes and lease calls per second; zero for no limit.
    pub writes_per_second: u32,
}
