use std::time::Instant;

use bramleywind_claims::{MAX_REGISTRY_BODY_BYTES, RecordedOutcome};
use bramleywind_http::AnswerBody;
use bramleywind_types::TokenCount;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;

use crate::{
    AttemptOutcome, AttemptFailure, AttemptRunner, AttemptTarget, BillDecision, CallTimeouts, CallerGone,
    CallerChannel, DeclineRule, ReportedUsage, RequestContext, RouterState, call_endpoint,
    insert_request_id,
};

/// Headers that concern one connection only and are not forwarded.
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

/// A call to a plain service, as it is forwarded.
#[derive(Debug, Clone)]
pub struct ServiceRequest {
    /// The method.
    pub method: Method,
    /// Path and query below the service.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What the call costs.
    pub price: TokenCount,
    /// Whether the call may run again after a failure.
    pub idempotent: bool,
}

/// The answer to a service call, over all its attempts.
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

/// The headers that a proxy may forward: neither hop-by-hop ones nor those that `connection` names.
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
    let mut kept = headers.clone();
    for name in HOP_BY_HOP.iter().chain(&named) {
        kept.remove(name);
    }
    kept
}

impl ServiceRequest {
    /// The headers of a caller's request that reach the service. The bearer key does not: it is a secret
    /// between the caller and the routers.
    pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
        let mut kept = end_to_end_headers(headers);
        for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
            kept.remove(name);
        }
        kept
    }
}

impl ServiceAttempts {
    /// No attempt made yet.
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
        let times = CallTimeouts::until(&state.limits, context.deadline);
        let rule = match self.request.idempotent {
            true => DeclineRule::BusyOrLeaving,
            false => DeclineRule::LeavingOnly,
        };
        let answer = match call_endpoint(target.address, request, times, rule).await {
            Ok(answer) => answer,
            Err(failed) => {
                self.accepted |= !failed.failure.is_certainly_not_run();
                return AttemptOutcome::Failed(failed);
            }
        };
        self.accepted = true;
        let (status, headers) = (answer.head.status, end_to_end_headers(&answer.head.headers));
        // A gateway error of an idempotent call is worth another endpoint; other answers are the service's.
        let is_gateway_error =
            matches!(status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT);
        if self.request.idempotent && is_gateway_error {
            return AttemptOutcome::Failed(AttemptFailure::ServerError.into());
        }
        let left = context.deadline.saturating_duration_since(Instant::now());
        let idle_time = state.limits.idle_time.min(left);
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
        // A call that must not be repeated is not cancelled half-way: its outcome is recorded for the caller
        // that comes back with the same key.
        if !self.request.idempotent {
            return self.run(state, context, target).await;
        }
        let end = caller.run_unless_gone(self.run(state, context, target)).await;
        end.unwrap_or_else(|CallerGone| {
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
    ) -> Option<Response<AnswerBody>> {
        let answer = self.answer.clone()?;
        let mut response = Response::new(AnswerBody::from(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response.headers_mut().remove(header::CONTENT_LENGTH);
        insert_request_id(response.headers_mut(), context.id);
        Some(response)
    }

    fn recorded_outcome(&self) -> Option<RecordedOutcome> {
        let answer =
            self.answer.as_ref().filter(|answer| answer.body.len() <= MAX_REGISTRY_BODY_BYTES)?;
        // A repeat of an idempotent call is better served by another run than by an old error.
        if self.request.idempotent && answer.status.is_server_error() {
            return None;
        }
        let content_type = answer.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(Into::into);
        let status = answer.status.as_u16();
        Some(RecordedOutcome { status, content_type, body: answer.body.to_vec() })
    }
}
