use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{ConnectionError, HttpConnection};
use compio::time::timeout;
use http::{Request, StatusCode, header, response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{CallFailure, FailureKind, RequestContext};
use crate::{
    endpoints::{Endpoint, PooledConnection, InFlightGuard},
    platform_api::{AnswerHead, CallHead, EventId, WireCodec},
};

/// How long a connection to an endpoint may take. A round trip takes milliseconds; a dropped opening packet is
/// sent again after a second, and then another endpoint is the better choice.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Head of an answer, and what is needed to read the rest of it.
#[derive(Debug)]
pub(super) struct Exchange {
    pub head: response::Parts,
    pub answer: AnswerHead,
    pub body: Incoming,
    pub connection: PooledConnection,
    pub work: InFlightGuard,
}

/// Sends a request to an endpoint and waits until `patience` for the head of the answer.
pub(super) async fn exchange<W: WireCodec>(
    context: &RequestContext,
    endpoint: &Rc<Endpoint>,
    resume_after: Option<EventId>,
    patience: Instant,
) -> Result<Exchange, CallFailure> {
    let now = Instant::now();
    let to_read = context.prompt.as_ref().map(|prompt| {
        let mut prefixes = endpoint.prefixes().borrow_mut();
        let cached = prefixes.cached_tokens(&context.prefixes, now);
        prefixes.insert(&context.prefixes, now);
        prompt.prompt_tokens.0.saturating_sub(cached)
    });
    let work = endpoint.track_request(to_read, now);
    let must_be_fresh = !context.route.kind.is_repeatable();
    loop {
        let pooled = endpoint.pool().borrow_mut().take(must_be_fresh, Instant::now());
        let is_pooled = pooled.is_some();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => connect(endpoint, patience).await?,
        };
        let request = call_request::<W>(context, endpoint, resume_after);
        let left = patience.saturating_duration_since(Instant::now());
        let response = match timeout(left, connection.send(request)).await {
            Ok(Ok(response)) => response,
            // The endpoint closed a pooled connection before the request was written: take another one.
            Ok(Err(ConnectionError::NotWritten)) if is_pooled => continue,
            Ok(Err(
                error @ (ConnectionError::NotWritten | ConnectionError::NotConnected { .. }),
            )) => {
                return Err(CallFailure::new(FailureKind::NotSent, error));
            }
            Ok(Err(error @ ConnectionError::Broken { .. })) => {
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
        let answer = W::read_answer(&head);
        if let Some(load) = answer.load {
            endpoint.set_load(load, Instant::now());
        }
        if answer.is_declined {
            let reason = format!("declined with {}", head.status);
            let kind = match head.status {
                StatusCode::MISDIRECTED_REQUEST => FailureKind::Replaced,
                _ => FailureKind::Declined,
            };
            return Err(CallFailure::new(kind, reason));
        }
        if let Some(reason) = unusable(context, &head, &answer) {
            return Err(CallFailure::new(FailureKind::MayHaveRun, reason));
        }
        return Ok(Exchange { head, answer, body, connection, work });
    }
}

async fn connect(endpoint: &Endpoint, patience: Instant) -> Result<PooledConnection, CallFailure> {
    let address = endpoint.record().address;
    let left = patience.saturating_duration_since(Instant::now());
    HttpConnection::connect(address, CONNECT_TIME.min(left))
        .await
        .map_err(|error| CallFailure::new(FailureKind::NotSent, error))
}

fn call_request<W: WireCodec>(
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

/// Why an answer can't be passed on.
fn unusable(
    context: &RequestContext,
    head: &response::Parts,
    answer: &AnswerHead,
) -> Option<&'static str> {
    if answer.request_id.as_deref() != Some(&*context.request_id) {
        return Some("the answer belongs to another request");
    }
    if head.status.is_success() && !answer.is_sealed {
        return Some("the answer is not sealed by the endpoint");
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return Some("the answer's body is encoded, which nobody asked for");
    }
    None
}

impl Exchange {
    /// Keeps the connection for other requests. Only after the whole answer was read.
    pub(super) fn recycle(self) {
        let endpoint = Rc::clone(self.work.endpoint());
        endpoint.health().borrow_mut().record_success();
        if !self.answer.is_closing && endpoint.is_open() {
            let idle_time = self.answer.idle_time;
            endpoint.pool().borrow_mut().put(self.connection, idle_time, Instant::now());
        }
    }
}
