use bramleywind_claims::CrashReportId;
use bramleywind_macros::domain_type;

use super::SharedPart;

/// The record of a refused part in the platform's store, for gateways that no notice reached and for those that start
/// later.
#[domain_type]
pub struct PartQuarantine {
    /// The part.
    pub part: SharedPart,
    /// The ends of endpoints for which it is refused.
    pub crashes: Vec<CrashReportId>,
    /// The time of the first of them, in Unix milliseconds.
    pub first_crash_at_ms: u64,
    /// The end of the refusal, in Unix milliseconds.
    pub expires_at_ms: u64,
}
