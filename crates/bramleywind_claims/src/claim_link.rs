//! Questions between routers about claims. The types are only used together.

use bramleywind_macros::domain_type;
use bramleywind_types::RequestKey;

use crate::{ClaimHolder, ClaimId, RecordedOutcome};

/// Asks the holder of an open claim what became of it.
#[domain_type]
pub struct ClaimQuery {
    /// The key of the request.
    pub key: RequestKey,
    /// The claim.
    pub claim: ClaimId,
}

/// What a holder says about a claim.
#[domain_type]
pub enum ClaimStatus {
    /// The request is running, or about to be sent.
    Running,
    /// The request ran, with this outcome.
    Finished(RecordedOutcome),
    /// The request was never sent and never will be; the claim is closed, or about to be.
    NeverSent,
    /// The holder does not know: it is another run, does not remember, or gave no answer in time.
    Unknown,
}

/// Carries claim queries to other routers. The peer connections implement it, and fakes in tests.
///
/// Each call ends by a deadline of the implementation's.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait ClaimLink {
    /// Asks the holder of a claim about it. No answer, or one of another run, is [`ClaimStatus::Unknown`].
    async fn query(&self, holder: &ClaimHolder, query: &ClaimQuery) -> ClaimStatus;
}
