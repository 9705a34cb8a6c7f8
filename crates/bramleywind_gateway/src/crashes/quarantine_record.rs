use bramleywind_macros::domain_type;

use super::{CallCrashReport, CallFingerprint};

/// The record of a refused request in the platform's store, for gateways that no notice reached and for those that start
/// later.
#[domain_type]
pub struct QuarantineRecord {
    /// The refused request.
    pub fingerprint: CallFingerprint,
    /// The crashes for which it is refused.
    pub strikes: Vec<CallCrashReport>,
    /// The end of the refusal, in Unix milliseconds.
    pub expires_at_ms: u64,
}
