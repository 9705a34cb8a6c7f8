//! Messages to the home of an idempotent request's key. They are only used together.

use bramleywind_macros::domain_type;
use bramleywind_types::{BodyHash, InstanceId, RequestId, RequestKey};

use crate::RecordedOutcome;

/// Tells a key home that a request begins, and asks what it knows of the key.
#[domain_type]
pub struct KeyClaimRequest {
    /// The key of the request.
    pub key: RequestKey,
    /// The hash of the request.
    pub body_hash: BodyHash,
    /// The router that would run the request.
    pub holder: InstanceId,
    /// The attempt that would run.
    pub attempt: RequestId,
}

/// What a key home knows of a key.
#[domain_type]
pub enum KeyClaimOutcome {
    /// No copy is running; this attempt is now recorded as running.
    Started {
        /// Whether it takes the place of an attempt whose router is dead, and may have been counted as spent.
        replaces_dead: bool,
    },
    /// Another attempt is running.
    Running {
        /// The router that runs it.
        holder: InstanceId,
        /// The attempt.
        attempt: RequestId,
    },
    /// A copy ran, with this outcome.
    Done(RecordedOutcome),
    /// The key was used with a different request.
    Mismatch,
    /// The home did not answer. The request runs, because running twice is allowed.
    Unreachable,
}

/// Tells a key home that an attempt ended.
#[domain_type]
pub struct KeyFinishRequest {
    /// The key of the request.
    pub key: RequestKey,
    /// The attempt that ended.
    pub attempt: RequestId,
    /// Its outcome; nothing if it has none that a repeat should get.
    pub outcome: Option<RecordedOutcome>,
}

/// What a report of an ended attempt came to.
#[domain_type]
#[derive(Copy)]
pub enum KeyFinishOutcome {
    /// The home took note.
    Recorded,
    /// The home does not know the attempt, or the outcome is too large for it.
    Ignored,
    /// The home did not answer.
    Unreachable,
}
