//! Crash strikes as routers share them. The types are only used together.

use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::{BodyHash, EndpointId, WorkspaceId};

/// Recognises copies of a request under any key: what crashes an endpoint is the request itself.
#[domain_type]
#[derive(PartialOrd, Ord, Hash)]
pub struct RequestFingerprint {
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The hash of the request.
    pub body_hash: BodyHash,
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.body_hash)
    }
}

/// Names a report, so that one that arrives twice counts once.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
#[serde(transparent)]
pub struct CrashReportId(pub u64);

/// What routers tell each other about requests that crash endpoints.
#[domain_type]
pub enum CrashReport {
    /// The request was in flight on an endpoint that crashed.
    Strike {
        /// Names the report.
        id: CrashReportId,
        /// The request.
        fingerprint: RequestFingerprint,
        /// The endpoint that crashed.
        endpoint: EndpointId,
    },
    /// A struck request is being retried on this endpoint, so that no other request from the same crash may be.
    Retry {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The endpoint that now runs it.
        endpoint: EndpointId,
    },
    /// The retry on this endpoint has ended, so that the next request from the same crash may use it.
    RetryEnded {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The endpoint that ran it.
        endpoint: EndpointId,
    },
}
