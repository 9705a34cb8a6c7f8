//! The messages by which gateways tell each other about parts of prompts that crash endpoints.

use bramleywind_claims::CrashReportId;
use bramleywind_macros::domain_type;

use super::{PartReport, SharedPart};

/// A message of one gateway to another.
#[domain_type]
pub enum PartNotice {
    /// Endpoints ended. Sent to the gateways that count the ends of the service.
    Ends(Vec<PartReport>),
    /// Asks for the last answers to requests with these parts.
    Question(Vec<SharedPart>),
    /// Requests with these parts are refused from now on.
    Refused(Vec<PartRefusal>),
    /// Requests with these parts are no longer refused.
    Cleared(Vec<SharedPart>),
}

/// The reply to a [`PartNotice`].
#[domain_type]
#[derive(Default)]
pub struct PartReply {
    /// The answers that contradict a refusal, or that were asked for.
    pub proofs: Vec<PartProof>,
}

/// The last time at which an endpoint went on answering a request with a part.
#[domain_type]
pub struct PartProof {
    /// The part.
    pub part: SharedPart,
    /// The time since then, in milliseconds.
    pub age_ms: u64,
}

/// The refusal of requests with a part. Times are relative, since gateways' clocks differ.
#[domain_type]
pub struct PartRefusal {
    /// The part.
    pub part: SharedPart,
    /// The ends of endpoints for which it is refused.
    pub crashes: Vec<CrashReportId>,
    /// The time since the first of them, in milliseconds.
    pub first_crash_age_ms: u64,
    /// How long requests are refused, in milliseconds.
    pub duration_ms: u64,
}
