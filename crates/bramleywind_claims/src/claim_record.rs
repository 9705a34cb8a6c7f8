use std::time::Duration;

use bramleywind_macros::domain_type;
use bramleywind_types::{BodyHash, UnixDeadline};

use crate::{ClaimHolder, ClaimId, ClaimSequence, RecordedOutcome};

/// How long a claim is kept after it was opened.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The state of a claimed request.
#[domain_type]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the request, or has sent it.
    Open,
    /// The request ran, with this outcome.
    Done(RecordedOutcome),
    /// The request may have run. Its outcome is unknown or too large to record.
    Unknown,
    /// The request did not run, and the holder will not send it.
    NotRun,
}

/// The durable claim of one request key.
#[domain_type]
pub struct ClaimRecord {
    /// The hash of the request, which shows whether a key is reused for a different request.
    pub body_hash: BodyHash,
    /// The process that may send the request. Only this process changes the state.
    pub holder: ClaimHolder,
    /// The sequence number of the claim within the holder's run.
    pub sequence: ClaimSequence,
    /// The state of the request.
    pub state: ClaimState,
    /// The time after which the record may be removed.
    pub keep_until_ms: UnixDeadline,
}

impl ClaimRecord {
    /// Returns the id of the claim.
    pub fn id(&self) -> ClaimId {
        ClaimId { run: self.holder.run, sequence: self.sequence }
    }
}
