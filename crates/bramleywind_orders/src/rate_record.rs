use bramleywind_macros::domain_type;
use bramleywind_types::FencingToken;

/// The token bucket for downloads from the weight store, stored under the key `duties/weights`.
///
/// The bucket holds one permit, so it is empty after each write and its level need not be stored. No timestamp
/// is stored either, because the clocks of instances disagree: a process measures the refill time from when it
/// first saw a version, which is later than when the version was written.
#[domain_type]
#[derive(Default)]
pub struct RateRecord {
    /// The number of permits taken so far.
    pub taken: u64,
    /// The process that took the last permit, for diagnostics.
    pub holder: Box<str>,
    /// The fencing token of that process's lease, for diagnostics.
    pub fencing: FencingToken,
}
