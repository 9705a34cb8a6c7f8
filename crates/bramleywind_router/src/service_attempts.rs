use std::time::Instant;

use bramleywind_claims::{MAX_CACHED_BODY_BYTES, RecordedOutcome};
use bramleywind_http::ResponseBody;
use bramleywind_types::TokenCount;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;

use crate::{
    AttemptFailure, AttemptOutcome, AttemptRunner, AttemptTarget, BillDecision, CallTimeouts,
    CallerChannel, CallerGone, DeclineRule, ReportedUsage, RequestContext, RouterState,
    call_endpoint, insert_request_id,
};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// A call to a plain service, in the form in which it is forwarded.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query below the service's prefix.
    pub uri: Uri,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// The price of the call in tokens.
    pub price: TokenCount,
    /// Whether the call may run again after a failure.
    pub idempotent: bool,
}

/// Runs the attempts of a service call and holds the answer.
#[derive(Debug)]
pub struct ServiceAttempts {
    request: ServiceRequest,
    accepted: bool,
    answer: Option<ServiceAnswer>,
}

#[derive(Debug, Clone)]
struct ServiceAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Returns the headers that a proxy may forward: those that are neither hop-by-hop headers nor named in
/// `connection`.
///
/// ```
/// use bramleywind_router::end_to_end_headers;
/// use http::{HeaderMap, HeaderValue, header};
///
/// let mut headers = HeaderMap::new();
/// headers.insert(header::CONNECTION, HeaderValue::from_static("close, x-hop"));
/// headers.insert("x-hop", HeaderValue::from_static("1"));
/// headers.insert("x-end", HeaderValue::from_static("2"));
/// let kept = end_to_end_headers(&headers);
/// assert_eq!(kept.len(), 1);
/// assert!(kept.contains_key("x-end"));
/// ```
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP.iter().chain(&named) {
        forwarded.remove(name);
    }
    forwarded
}

impl ServiceRequest {
    /// Returns the headers of a caller's request that are forwarded to the service. The bearer key is not
    /// forwarded: it is a secret between the caller and the routers.
    pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
        let mut forwarded = end_to_end_headers(headers);
        for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
            forwarded.remove(name);
        }
        forwarded
    }
}

impl ServiceAttempts {
    /// Creates the runner of a call, before its first attempt.
    pub fn new(request: ServiceRequest) -> Self {
        Self { request, accepted: false, answer: None }
    }

    fn service_request(
        &self,
        context: &RequestContext,
        target: &AttemptTarget,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = self.request.headers.clone();
        if let Ok(host) = HeaderValue::try_from(target.address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        insert_request_id(request.headers_mut(), context.id);
        request
    }

    async fn run(
        &mut self,
        state: &RouterState,
        context: &RequestContext,
        target: &AttemptTarget,
    ) -> AttemptOutcome {
        let request = self.service_request(context, target);
        let timeouts = CallTimeouts::until(&state.limits, context.deadline);
        let rule = match self.request.idempotent {
            true => DeclineRule::BusyOrLeaving,
            false => DeclineRule::LeavingOnly,
        };
        let answer = match call_endpoint(target.address, request, timeouts, rule).await {
            Ok(answer) => answer,
            Err(failed) => {
                self.accepted |= !failed.failure.is_certainly_not_run();
                return AttemptOutcome::Failed(failed);
            }
        };
        self.accepted = true;
        let (status, headers) = (answer.head.status, end_to_end_headers(&answer.head.headers));
        // A gateway error of an idempotent call is retried on another endpoint. All other answers are passed
        // on as the service's own.
        let is_gateway_error =
            matches!(status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT);
        if self.request.idempotent && is_gateway_error {
            return AttemptOutcome::Failed(AttemptFailure::ServerError.into());
        }
        let remaining = context.deadline.saturating_duration_since(Instant::now());
        let idle_time = state.limits.idle_time.min(remaining);
        match answer.collect(idle_time, state.limits.service_answer_bytes).await {
            Ok(body) => {
                self.answer = Some(ServiceAnswer { status, headers, body });
                AttemptOutcome::Complete
            }
            Err(failure) => AttemptOutcome::Failed(failure.into()),
        }
    }
}

impl AttemptRunner for ServiceAttempts {
    async fn attempt(
        &mut self,
        state: &RouterState,
        context: &RequestContext,
        target: &AttemptTarget,
        caller: &mut CallerChannel,
    ) -> AttemptOutcome {
        // A call that must not run twice is not cancelled when its caller disconnects: its outcome is
        // recorded for the caller's repeat with the same key.
        if !self.request.idempotent {
            return self.run(state, context, target).await;
        }
        let outcome = caller.run_unless_gone(self.run(state, context, target)).await;
        outcome.unwrap_or_else(|CallerGone| {
            self.accepted = true;
            AttemptOutcome::CallerGone
        })
    }

    fn prompt_estimate(&self) -> TokenCount {
        self.request.price
    }

    fn delivered(&self) -> TokenCount {
        TokenCount(0)
    }

    fn reported(&self) -> Option<ReportedUsage> {
        None
    }

    fn accepted(&self) -> bool {
        self.accepted
    }

    fn buffered_response(
        &mut self,
        context: &RequestContext,
        _bill: &BillDecision,
    ) -> Option<Response<ResponseBody>> {
        let answer = self.answer.clone()?;
        let mut response = Response::new(ResponseBody::from(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response.headers_mut().remove(header::CONTENT_LENGTH);
        insert_request_id(response.headers_mut(), context.id);
        Some(response)
    }

    fn recorded_outcome(&self) -> Option<RecordedOutcome> {
        let answer =
            self.answer.as_ref().filter(|answer| answer.body.len() <= MAX_CACHED_BODY_BYTES)?;
        // For a repeat of an idempotent call, running it again is better than replaying an old error.
        if self.request.idempotent && answer.status.is_server_error() {
            return None;
        }
        let content_type = answer.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(Into::into);
        let status = answer.status.as_u16();
        Some(RecordedOutcome { status, content_type, body: answer.body.to_vec() })
    }
}
