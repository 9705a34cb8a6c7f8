use std::net::SocketAddr;

use bramleywind_claims::RecordedOutcome;
use bramleywind_http::AnswerBody;
use bramleywind_types::{EndpointId, Refusal, TokenCount};
use http::Response;

use crate::{BillDecision, CallerChannel, FailedCall, ReportedUsage, RequestContext, RouterState};

/// What an attempt at an endpoint came to.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The whole answer was received, and sent on if it is streamed.
    Complete,
    /// The caller went away.
    CallerGone,
    /// The endpoint rejected the request for good; another endpoint would do the same.
    Rejected(Refusal),
    /// The endpoint failed.
    Failed(FailedCall),
}

/// The endpoint of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// A kind of request, with what its attempts have produced so far.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait AttemptRunner {
    /// Sends the request to an endpoint and passes the answer on. A later attempt continues where the
    /// earlier ones ended.
    async fn attempt(
        &mut self,
        state: &RouterState,
        context: &RequestContext,
        target: &AttemptTarget,
        caller: &mut CallerChannel,
    ) -> AttemptOutcome;

    /// The prompt's estimate, or the price of a service call.
    fn prompt_estimate(&self) -> TokenCount;

    /// The answer tokens that were received.
    fn delivered(&self) -> TokenCount;

    /// What the engine reported.
    fn reported(&self) -> Option<ReportedUsage>;

    /// Whether an endpoint accepted the request, or may have when its caller left.
    fn accepted(&self) -> bool;

    /// The answer of a complete request that is sent as a whole; nothing if it was streamed.
    fn buffered_response(
        &mut self,
        context: &RequestContext,
        bill: &BillDecision,
    ) -> Option<Response<AnswerBody>>;

    /// What a repeat under the same key is answered; nothing if the answer is too large to record.
    fn recorded_outcome(&self) -> Option<RecordedOutcome>;
}
