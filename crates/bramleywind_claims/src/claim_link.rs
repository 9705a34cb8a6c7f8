//! Queries between routers about claims. These types are only used together.

use bramleywind_macros::domain_type;
use bramleywind_types::RequestKey;

use crate::{ClaimHolder, ClaimId, RecordedOutcome};

/// A query to the holder of an open claim for its status.
#[domain_type]
pub struct ClaimQuery {
    /// The key of the request.
    pub key: RequestKey,
    /// The id of the claim.
    pub claim: ClaimId,
}

/// The status of a claim, as reported by its holder.
#[domain_type]
pub enum ClaimStatus {
    /// The request is running or about to be sent.
    Running,
    /// The request ran, with this outcome.
    Finished(RecordedOutcome),
    /// The request was never sent and never will be. The claim is closed or about to be
    /// closed.
    NeverSent,
    /// The outcome is unknown: the holder cannot tell it, has forgotten the claim, has restarted since, or did not
    /// answer in time.
    Unknown,
}

/// A client for claim queries to other routers. It is implemented by the peer connections, and by fakes in tests.
///
/// Each implementation sets its own deadline, by which a call returns.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait ClaimLink {
    /// Queries the holder of a claim. Returns [`ClaimStatus::Unknown`] if there is no answer or if another run answers.
    async fn query(&self, holder: &ClaimHolder, query: &ClaimQuery) -> ClaimStatus;
}
