use std::net::SocketAddr;

use bramleywind_claims::RecordedOutcome;
use bramleywind_http::ResponseBody;
use bramleywind_types::{EndpointId, Refusal, TokenCount};
use http::Response;

use crate::{BillDecision, CallerChannel, FailedCall, ReportedUsage, RequestContext, RouterState};

/// The outcome of one attempt at an endpoint.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The complete answer was received and, if it is streamed, forwarded to the caller.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The endpoint rejected the request itself, so another endpoint would reject it as well.
    Rejected(Refusal),
    /// The attempt failed.
    Failed(FailedCall),
}

/// The endpoint that an attempt is sent to.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: SocketAddr,
}

/// Runs the attempts of one kind of request and holds what they have produced so far.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait AttemptRunner {
    /// Sends the request to an endpoint and forwards the answer. A later attempt continues where the earlier
    /// ones ended.
    async fn attempt(
        &mut self,
        state: &RouterState,
        context: &RequestContext,
        target: &AttemptTarget,
        caller: &mut CallerChannel,
    ) -> AttemptOutcome;

    /// Returns the estimated length of the prompt, or the price of a service call.
    fn prompt_estimate(&self) -> TokenCount;

    /// Returns the number of answer tokens received over all attempts.
    fn delivered(&self) -> TokenCount;

    /// Returns the usage that the engine reported, if any.
    fn reported(&self) -> Option<ReportedUsage>;

    /// Returns true if an endpoint accepted the request, or may have done so before the caller disconnected.
    fn accepted(&self) -> bool;

    /// Returns the response of a complete request that was collected rather than streamed, or `None` if it
    /// was streamed.
    fn buffered_response(
        &mut self,
        context: &RequestContext,
        bill: &BillDecision,
    ) -> Option<Response<ResponseBody>>;

    /// Returns the outcome to replay to a repeat under the same key, or `None` if the answer is too large to
    /// record.
    fn recorded_outcome(&self) -> Option<RecordedOutcome>;
}
