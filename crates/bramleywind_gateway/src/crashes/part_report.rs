use bramleywind_claims::CrashReportId;
use bramleywind_macros::domain_type;

use super::SharedPart;

/// A report of one gateway that an endpoint ended before it had answered a request for long, and which parts the
/// request's prompt shares with others.
#[domain_type]
pub struct PartReport {
    /// The end of the endpoint, which is the same at all gateways.
    pub crash: CrashReportId,
    /// The time since the end, in milliseconds. It is more than a moment if the registry showed the end.
    pub age_ms: u64,
    /// The shared parts, in the order of the prompt.
    pub parts: Box<[SharedPart]>,
}
