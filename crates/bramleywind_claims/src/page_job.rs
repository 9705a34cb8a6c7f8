//! Changes that wait for the next write of a page. These types are only used together.

use std::time::Instant;

use bramleywind_store::StoreVersion;
use bramleywind_types::{BodyHash, RequestKey};
use futures_channel::oneshot;

use crate::{ClaimId, ClaimRecord, ClaimState, ClaimTicket, UnavailableClaim};

/// The reply of a page worker to an [`OpenJob`].
#[derive(Debug)]
pub(crate) enum PageReply {
    Opened(ClaimTicket),
    Existing(Box<ClaimRecord>),
    Mismatch,
    NotRun,
    Unavailable(UnavailableClaim),
}

/// A claim to open.
#[derive(Debug)]
pub(crate) struct OpenJob {
    pub(crate) key: RequestKey,
    pub(crate) body_hash: BodyHash,
    pub(crate) id: ClaimId,
    /// The `not_run` claim of the key that this process knew when the request arrived. Only this claim may be replaced
    /// by an open one. Any other may belong to a copy that arrived later and was told that no earlier copy runs.
    pub(crate) known_not_run: Option<ClaimId>,
    pub(crate) deadline: Instant,
    /// The page version that the last write of this claim with an unknown result expected.
    pub(crate) attempted_version: Option<StoreVersion>,
    pub(crate) reply: oneshot::Sender<PageReply>,
}

/// A change of the state of a claim.
#[derive(Debug)]
pub(crate) struct ChangeJob {
    pub(crate) key: RequestKey,
    pub(crate) body_hash: BodyHash,
    pub(crate) id: ClaimId,
    /// The state to record.
    pub(crate) state: ClaimState,
    /// The page version that the unconfirmed write of the claim expected. While the page has this version, that write
    /// may still be applied.
    pub(crate) attempted_version: Option<StoreVersion>,
    /// Signals that the change is stored.
    pub(crate) stored: Option<oneshot::Sender<()>>,
}

#[derive(Debug, Default)]
pub(crate) struct PageJobs {
    pub(crate) opens: Vec<OpenJob>,
    pub(crate) changes: Vec<ChangeJob>,
}

impl PageJobs {
    pub(crate) fn is_empty(&self) -> bool {
        self.opens.is_empty() && self.changes.is_empty()
    }

    pub(crate) fn append(&mut self, mut other: Self) {
        self.opens.append(&mut other.opens);
        self.changes.append(&mut other.changes);
    }
}

impl OpenJob {
    /// Returns the job that closes the claim if the result of its write is unknown.
    pub(crate) fn closing_change(&self) -> ChangeJob {
        ChangeJob {
            key: self.key.clone(),
            body_hash: self.body_hash,
            id: self.id,
            state: ClaimState::NotRun,
            attempted_version: self.attempted_version,
            stored: None,
        }
    }
}
