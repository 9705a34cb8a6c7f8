//! Messages to the home routers of an idempotent request's key. These types are only used together.

use bramleywind_macros::domain_type;
use bramleywind_types::{BodyHash, InstanceId, RequestId, RequestKey};

use crate::RecordedOutcome;

/// Claims a key at one of its homes for an attempt that is about to start.
#[domain_type]
pub struct KeyClaimRequest {
    /// The key of the request.
    pub key: RequestKey,
    /// The hash of the request.
    pub body_hash: BodyHash,
    /// The router that will run the request.
    pub holder: InstanceId,
    /// The attempt that will run.
    pub attempt: RequestId,
}

/// The answer of a home to a [`KeyClaimRequest`].
#[domain_type]
pub enum KeyClaimOutcome {
    /// No live copy of the request is known. This attempt is now recorded as running.
    Started {
        /// Whether this attempt replaces one whose router is dead. The tokens of the replaced attempt may have been
        /// counted as spent.
        replaces_dead: bool,
    },
    /// Another attempt of the request is running.
    Running {
        /// The router that runs the other attempt.
        holder: InstanceId,
        /// The other attempt.
        attempt: RequestId,
    },
    /// A copy of the request ran, with this outcome.
    Done(RecordedOutcome),
    /// The key was used for a different request.
    Mismatch,
    /// The home did not answer. The request runs, because an idempotent request may run twice.
    Unreachable,
}

/// Reports to a home of a key that an attempt has ended.
#[domain_type]
pub struct KeyFinishRequest {
    /// The key of the request.
    pub key: RequestKey,
    /// The attempt that ended.
    pub attempt: RequestId,
    /// The outcome of the attempt, or `None` if it has none that can be returned to a repeat.
    pub outcome: Option<RecordedOutcome>,
}

/// The answer of a home to a [`KeyFinishRequest`].
#[domain_type]
#[derive(Copy)]
pub enum KeyFinishOutcome {
    /// The home has recorded the end of the attempt.
    Recorded,
    /// The attempt is not the running one at the home, or its outcome is too large to keep.
    Ignored,
    /// The home did not answer.
    Unreachable,
}
