//! Reports of requests that crash endpoints, which routers send to each other. These types are only used together.

use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::{BodyHash, EndpointId, WorkspaceId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies copies of a request regardless of their keys, because it is the request itself that crashes an endpoint.
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

/// The id of a crash, so that it counts once however many reports of it arrive.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
#[serde(transparent)]
pub struct CrashReportId(pub u64);

impl CrashReportId {
    /// Returns the id of a crash of an endpoint that has the same name each time it starts.
    pub fn of_endpoint(endpoint: &EndpointId) -> Self {
        Self(xxh3_64(endpoint.as_str().as_bytes()))
    }

    /// Returns the id of the crash of one start of an endpoint.
    pub fn of_start(endpoint: &EndpointId, started_at_ms: u64) -> Self {
        Self(xxh3_64_with_seed(endpoint.as_str().as_bytes(), started_at_ms))
    }
}

/// A report to other routers about a request that was in flight on an endpoint when it crashed. `F` identifies copies of
/// the request.
#[domain_type]
pub enum CrashReport<F = RequestFingerprint> {
    /// The request was in flight on an endpoint that crashed.
    Strike {
        /// The id of the report.
        id: CrashReportId,
        /// The request.
        fingerprint: F,
        /// The endpoint that crashed.
        endpoint: EndpointId,
    },
    /// The request is being retried on this endpoint, so no other request from the same crash may be retried there.
    Retry {
        /// The request.
        fingerprint: F,
        /// The endpoint that now runs it.
        endpoint: EndpointId,
    },
    /// The retry on this endpoint has ended, so the next request from the same crash may use the endpoint.
    RetryEnded {
        /// The request.
        fingerprint: F,
        /// The endpoint that ran it.
        endpoint: EndpointId,
    },
    /// As [`Self::Strike`], but the endpoint had begun to answer the request before it crashed.
    LateStrike {
        /// The id of the report.
        id: CrashReportId,
        /// The request.
        fingerprint: F,
        /// The endpoint that crashed.
        endpoint: EndpointId,
    },
    /// An endpoint answered the request, so its earlier crashes had another cause.
    Cleared {
        /// The request.
        fingerprint: F,
    },
}

impl<F> CrashReport<F> {
    /// Returns the request that the report is about.
    pub fn fingerprint(&self) -> &F {
        match self {
            Self::Strike { fingerprint, .. }
            | Self::LateStrike { fingerprint, .. }
            | Self::Retry { fingerprint, .. }
            | Self::RetryEnded { fingerprint, .. }
            | Self::Cleared { fingerprint } => fingerprint,
        }
    }
}
