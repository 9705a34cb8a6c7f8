use std::time::Duration;

use bramleywind_macros::domain_type;
use bramleywind_types::{BodyHash, UnixDeadline};

use crate::{ClaimHolder, ClaimId, ClaimSequence, RecordedOutcome};

/// How long a claim is kept after it was opened.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// What is known of a claimed request.
#[domain_type]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its holder may send it, or has sent it.
    Open,
    /// It ran, with this outcome.
    Done(RecordedOutcome),
    /// It may have run; its outcome is not known, or too large to record.
    Unknown,
    /// It did not run, and its holder will not send it.
    NotRun,
}

/// The durable claim of one request key.
#[domain_type]
pub struct ClaimRecord {
    /// The hash of the request, by which another request under the same key is recognised.
    pub body_hash: BodyHash,
    /// The process that may send the request. Only it changes the state.
    pub holder: ClaimHolder,
    /// The position among the holder's claims.
    pub sequence: ClaimSequence,
    /// What is known of the request.
    pub state: ClaimState,
    /// When the record may be dropped.
    pub keep_until_ms: UnixDeadline,
}

impl ClaimRecord {
    /// The id of the claim.
    pub fn id(&self) -> ClaimId {
        ClaimId { run: self.holder.run, sequence: self.sequence }
    }
}
