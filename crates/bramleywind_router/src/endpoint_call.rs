//! Calls an endpoint over a connection of its own.
//!
//! A connection carries one attempt, so late data of an abandoned attempt cannot reach another request.
//! Dropping the call closes the connection, which cancels the work at the endpoint.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_http::HttpConnection;
use bytes::Bytes;
use compio::time::timeout;
use http::{Request, Response, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::{AttemptFailure, LEAVING_HEADER, RequestLimits};

/// Time limits for the steps of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallTimeouts {
    /// The limit for establishing the connection.
    pub connect: Duration,
    /// The limit from sending the request to receiving the head of the answer.
    pub first_byte: Duration,
}

impl CallTimeouts {
    /// Returns the configured limits, shortened so that no step outlasts the request's deadline.
    pub fn until(limits: &RequestLimits, deadline: Instant) -> Self {
        let remaining = deadline.saturating_duration_since(Instant::now());
        Self {
            connect: limits.connect_time.min(remaining),
            first_byte: limits.first_byte_time.min(remaining),
        }
    }
}

/// Selects which answers mean that the endpoint did not accept the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineRule {
    /// The endpoint is busy, unavailable or leaving. For requests that may run twice.
    BusyOrLeaving,
    /// The endpoint is leaving. For requests that must not run twice: a plain service may answer that it is
    /// unavailable after it has done part of the work, so that answer does not allow another attempt.
    LeavingOnly,
}

/// An answer whose head has been received and whose body is still arriving.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// The status and headers.
    pub head: Parts,
    body: Incoming,
    _connection: HttpConnection<Full<Bytes>>,
}

/// A call that failed before a usable answer arrived.
#[derive(Debug)]
pub struct FailedCall {
    /// The kind of failure.
    pub failure: AttemptFailure,
    /// Whether the endpoint announced that it is leaving.
    pub is_leaving: bool,
}

impl From<AttemptFailure> for FailedCall {
    fn from(failure: AttemptFailure) -> Self {
        Self { failure, is_leaving: false }
    }
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// Returns a [`FailedCall`] if no answer arrived or the endpoint declined the request. Answers with other
/// error statuses are returned as answers.
pub async fn call_endpoint(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeouts: CallTimeouts,
    rule: DeclineRule,
) -> Result<EndpointAnswer, FailedCall> {
    let no_deadline = Instant::now() + timeouts.connect + timeouts.first_byte;
    call_endpoint_before(address, request, timeouts, rule, no_deadline).await
}

/// Like [`call_endpoint`], but sends the request only if the connection is established before `latest_write`.
///
/// # Errors
///
/// Returns a [`FailedCall`] like [`call_endpoint`]; it is [`AttemptFailure::NotConnected`] if the connection
/// was established too late.
pub async fn call_endpoint_before(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeouts: CallTimeouts,
    rule: DeclineRule,
    latest_write: Instant,
) -> Result<EndpointAnswer, FailedCall> {
    let mut connection = HttpConnection::connect(address, timeouts.connect)
        .await
        .map_err(|_| AttemptFailure::NotConnected)?;
    if Instant::now() > latest_write {
        return Err(AttemptFailure::NotConnected.into());
    }
    let response = match timeout(timeouts.first_byte, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => return Err(AttemptFailure::Broken.into()),
        Err(_) => return Err(AttemptFailure::TimedOut.into()),
    };
    if let Some(failed) = detect_decline(&response, rule) {
        return Err(failed);
    }
    let (head, body) = response.into_parts();
    Ok(EndpointAnswer { head, body, _connection: connection })
}

/// Returns the failure if the answer means that the endpoint did not accept the request.
fn detect_decline(response: &Response<Incoming>, rule: DeclineRule) -> Option<FailedCall> {
    let is_leaving = response.headers().contains_key(LEAVING_HEADER);
    let is_declined = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => is_leaving || rule == DeclineRule::BusyOrLeaving,
        StatusCode::TOO_MANY_REQUESTS => rule == DeclineRule::BusyOrLeaving,
        _ => false,
    };
    is_declined.then_some(FailedCall { failure: AttemptFailure::Declined, is_leaving })
}

impl EndpointAnswer {
    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptFailure`] if the connection broke or stayed silent for `idle_time`.
    pub async fn next_chunk(
        &mut self,
        idle_time: Duration,
    ) -> Result<Option<Bytes>, AttemptFailure> {
        loop {
            let frame = match timeout(idle_time, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(AttemptFailure::Broken),
                Ok(None) => return Ok(None),
                Err(_) => return Err(AttemptFailure::TimedOut),
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Collects the complete body.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptFailure`] like [`Self::next_chunk`], or if the body is larger than `limit` bytes.
    pub async fn collect(
        mut self,
        idle_time: Duration,
        limit: usize,
    ) -> Result<Bytes, AttemptFailure> {
        let mut collected = Vec::new();
        while let Some(chunk) = self.next_chunk(idle_time).await? {
            if collected.len() + chunk.len() > limit {
                return Err(AttemptFailure::ServerError);
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.into())
    }
}
