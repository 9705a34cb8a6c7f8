use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{ConnectionError, HttpConnection};
use compio::time::timeout;
use http::{Request, StatusCode, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::{Logger, info};

use super::{CallFailure, FailureKind, RequestContext, RequestTrace};
use crate::{
    endpoints::{Endpoint, InFlightGuard, PooledConnection},
    gateway::Gateway,
    platform_api::{AnswerHead, CallHead, EventId, Platform, WireCodec},
};

/// Timeout for connecting to an endpoint. A round trip takes milliseconds, but a lost SYN packet is retransmitted only
/// after a second, when another endpoint is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Holds the head of a response and everything needed to read its body.
#[derive(Debug)]
pub(super) struct Exchange {
    pub head: response::Parts,
    pub answer: AnswerHead,
    pub body: Incoming,
    pub connection: PooledConnection,
    pub guard: InFlightGuard,
}

/// Sends a request to an endpoint and waits until `call_deadline` for the head of the response.
pub(super) async fn send_request<P: Platform>(
    gateway: &Gateway<P>,
    context: &RequestContext,
    trace: &mut RequestTrace,
    endpoint: &Rc<Endpoint>,
    resume_after: Option<EventId>,
    call_deadline: Instant,
) -> Result<Exchange, CallFailure> {
    let now = Instant::now();
    let uncached_tokens = context.prompt.as_ref().map(|prompt| {
        let mut tracker = endpoint.prefix_tracker().borrow_mut();
        let cached = tracker.cached_tokens(&context.prefixes, now);
        tracker.insert(&context.prefixes, now);
        prompt.prompt_tokens.0.saturating_sub(cached)
    });
    let guard = endpoint.track_request(uncached_tokens, now);
    let must_be_fresh = !context.route.kind.is_repeatable();
    loop {
        let pooled = endpoint.pool().borrow_mut().take(must_be_fresh, Instant::now());
        let is_pooled = pooled.is_some();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => connect(endpoint, call_deadline).await?,
        };
        let sent_at = Instant::now();
        // The wait for a connection, a permit or funds may have taken a while.
        if !gateway.may_send_to(endpoint, sent_at) {
            let reason = "the endpoint left, or may have left, before the request was sent";
            return Err(CallFailure::new(FailureKind::Left, reason));
        }
        let request = build_request::<P::Wire>(context, endpoint, resume_after);
        trace.record_sending(gateway.list_freshness().age(sent_at));
        let left = call_deadline.saturating_duration_since(sent_at);
        let response = match timeout(left, connection.send(request)).await {
            Ok(Ok(response)) => response,
            // The endpoint closed a pooled connection before the request was written, so another connection is used.
            Ok(Err(ConnectionError::NotWritten)) if is_pooled => continue,
            Ok(Err(
                error @ (ConnectionError::NotWritten | ConnectionError::NotConnected { .. }),
            )) => {
                return Err(CallFailure::new(FailureKind::NotSent, error));
            }
            Ok(Err(error @ ConnectionError::Broken { .. })) => {
                return Err(CallFailure::new(FailureKind::ConnectionLost, error));
            }
            // The endpoint lives, so its end is not looked for.
            Ok(Err(error @ ConnectionError::HeadTooLarge { .. })) => {
                return Err(CallFailure::new(FailureKind::MayHaveRun, error));
            }
            Err(_) => {
                return Err(CallFailure::new(
                    FailureKind::TimedOut,
                    "no head of an answer in time",
                ));
            }
        };
        let (head, body) = response.into_parts();
        endpoint.record_activity(Instant::now());
        let answer = P::Wire::read_answer(&head);
        if let Some(reason) = foreign_reason(context, &answer, is_pooled) {
            return Err(CallFailure::new(FailureKind::MayHaveRun, reason));
        }
        if let Some(load) = answer.load {
            endpoint.set_load(load, Instant::now());
        }
        note_wishes(endpoint, head.status, &answer, gateway.log());
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            gateway.observe_rate(endpoint, answer.rate, sent_at);
        }
        if head.status != StatusCode::MISDIRECTED_REQUEST
            && !answer.is_leaving
            && !answer.is_closing
        {
            endpoint.record_open_answer(sent_at);
        }
        if answer.is_declined {
            let reason = format!("declined with {}", head.status);
            let kind = match head.status {
                StatusCode::MISDIRECTED_REQUEST => FailureKind::Replaced,
                _ => FailureKind::Declined,
            };
            return Err(CallFailure::new(kind, reason));
        }
        if let Some(reason) = unusable_reason(&head, &answer) {
            return Err(CallFailure::new(FailureKind::MayHaveRun, reason));
        }
        return Ok(Exchange { head, answer, body, connection, guard });
    }
}

/// Opens a new connection to an endpoint.
async fn connect(
    endpoint: &Endpoint,
    call_deadline: Instant,
) -> Result<PooledConnection, CallFailure> {
    let address = endpoint.record().address;
    let left = call_deadline.saturating_duration_since(Instant::now());
    HttpConnection::connect(address, CONNECT_TIMEOUT.min(left))
        .await
        .map_err(|error| CallFailure::new(FailureKind::NotSent, error))
}

/// Builds the request for an endpoint from the caller's request.
fn build_request<W: WireCodec>(
    context: &RequestContext,
    endpoint: &Endpoint,
    resume_after: Option<EventId>,
) -> Request<Full<bytes::Bytes>> {
    let record = endpoint.record();
    let call = CallHead {
        endpoint: &record.id,
        workspace: context.workspace.as_ref(),
        deadline: context.deadline,
        resume_after,
        rank: context.prompt.as_ref().map(|_| context.rank),
    };
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = context.target.clone();
    *request.headers_mut() = W::call_headers(&context.headers, &call, Instant::now());
    request
}

/// Returns the reason why a response is not taken for the answer to the request, or `None` if it is. An endpoint may write
/// a response once more, which then stands where the next one is expected on its connection.
fn foreign_reason(
    context: &RequestContext,
    answer: &AnswerHead,
    is_reused_connection: bool,
) -> Option<&'static str> {
    match &answer.request_id {
        Some(id) if *id == context.request_id => None,
        Some(_) => Some("response belongs to another request"),
        // An endpoint that rejects a request without reading it does not know its id.
        None if answer.is_declined && !is_reused_connection => None,
        None => Some("response does not name its request"),
    }
}

/// Takes note of what the endpoint says about further requests.
fn note_wishes(endpoint: &Endpoint, status: StatusCode, answer: &AnswerHead, log: &Logger) {
    // Another instance speaks for itself.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if answer.is_leaving && endpoint.announce_leaving() {
        info!(log, "endpoint leaving, according to its answer"; "endpoint" => %endpoint.record().id);
    }
    if let Some(until) = answer.pause.and_then(|pause| Instant::now().checked_add(pause)) {
        endpoint.pause_until(until);
        info!(log, "endpoint wants no requests for a while"; "endpoint" => %endpoint.record().id,
            "for_ms" => answer.pause.map(|pause| pause.as_millis().to_string()));
    }
}

/// Returns the reason for which a response must not be relayed, or `None` if it may be.
fn unusable_reason(head: &response::Parts, answer: &AnswerHead) -> Option<&'static str> {
    if head.status.is_success() && !answer.is_sealed {
        return Some("response is not sealed by the endpoint");
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return Some("response body has a content encoding that was not requested");
    }
    None
}

impl Exchange {
    /// Returns whether the answer states where it ends. Otherwise it ends with its connection, as does an answer whose
    /// endpoint ends.
    pub(super) fn is_delimited(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
            || self.head.status == StatusCode::NO_CONTENT
    }

    /// Records the outcome and returns the connection to the endpoint's pool, unless the endpoint closes it or is
    /// leaving. May be called only after the whole response was read.
    pub(super) fn recycle(self) {
        let endpoint = Rc::clone(self.guard.endpoint());
        let now = Instant::now();
        if self.head.status.is_server_error() {
            endpoint.health().borrow_mut().record_error(now);
        } else {
            endpoint.health().borrow_mut().record_success(now);
        }
        if !self.answer.is_closing && endpoint.is_open() {
            let idle_time = self.answer.idle_time;
            endpoint.pool().borrow_mut().put(self.connection, idle_time, now);
        }
    }
}
