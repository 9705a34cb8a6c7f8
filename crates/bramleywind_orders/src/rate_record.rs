use bramleywind_macros::domain_type;
use bramleywind_types::FencingToken;

/// The token bucket of the weight store, under the store key `duties/weights`.
///
/// The bucket holds one permit, so it is empty after each write and its content need not be stored. It is
/// refilled by time, and clocks of instances disagree; therefore no time is stored either. A process counts
/// from when it first saw a version, which is later than when the version was written.
#[domain_type]
#[derive(Default)]
pub struct RateRecord {
    /// How many permits were taken.
    pub taken: u64,
    /// Who took the last one, for operators.
    pub holder: Box<str>,
    /// The token of that holder's lease, for operators.
    pub fencing: FencingToken,
}
