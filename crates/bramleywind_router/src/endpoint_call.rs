//! One call to an endpoint, on a connection of its own.
//!
//! A connection carries one attempt, so late data of an abandoned attempt cannot reach another request, and
//! dropping the call closes the connection, which cancels the work.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use cyper_core::HyperStream;
use http::{Request, Response, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};

use crate::{AttemptFailure, LEAVING_HEADER, RequestLimits};

/// The largest header section of an endpoint's answer, in bytes.
const ANSWER_HEADER_BYTES: usize = 64 * 1024;

/// How long each step of a call may take.
#[derive(Debug, Clone, Copy)]
pub struct CallTimeouts {
    /// The connection.
    pub connect: Duration,
    /// From sending the request to the head of the answer.
    pub first_byte: Duration,
}

impl CallTimeouts {
    /// The limits, shortened so that no step outlasts the request.
    pub fn until(limits: &RequestLimits, deadline: Instant) -> Self {
        let left = deadline.saturating_duration_since(Instant::now());
        Self {
            connect: limits.connect_time.min(left),
            first_byte: limits.first_byte_time.min(left),
        }
    }
}

/// Which answers mean that the endpoint did not take the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineRule {
    /// Busy, unavailable or leaving. For requests that may run twice.
    BusyOrLeaving,
    /// Leaving only. A plain service may answer that it is unavailable after it did part of the work, and
    /// such a request must not be sent again.
    LeavingOnly,
}

/// An answer whose body is still arriving.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    _connection: JoinHandle<()>,
}

/// A call that failed before a usable answer came.
#[derive(Debug)]
pub struct FailedCall {
    /// What failed.
    pub failure: AttemptFailure,
    /// Whether the endpoint said that it is leaving.
    pub is_leaving: bool,
}

impl From<AttemptFailure> for FailedCall {
    fn from(failure: AttemptFailure) -> Self {
        Self { failure, is_leaving: false }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// [`FailedCall`] if no answer came or the endpoint declined; other statuses are answers.
pub async fn call_endpoint(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    times: CallTimeouts,
    rule: DeclineRule,
) -> Result<EndpointAnswer, FailedCall> {
    let never = Instant::now() + times.connect + times.first_byte;
    call_endpoint_before(address, request, times, rule, never).await
}

/// As [`call_endpoint`], but sends the request only if the connection is made before `latest_write`.
///
/// # Errors
///
/// [`FailedCall`] as above; [`AttemptFailure::NotConnected`] if it was too late.
pub async fn call_endpoint_before(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    times: CallTimeouts,
    rule: DeclineRule,
    latest_write: Instant,
) -> Result<EndpointAnswer, FailedCall> {
    let stream = match timeout(times.connect, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(AttemptFailure::NotConnected.into()),
    };
    // A small request must not wait for the acknowledgement of an earlier packet.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(ANSWER_HEADER_BYTES)
        .handshake(HyperStream::new_plain(stream))
        .await
        .map_err(|_| AttemptFailure::NotConnected)?;
    let connection = compio::runtime::spawn(async move {
        // The error reaches the request through its own future.
        let _ = connection.await;
    });
    if Instant::now() > latest_write {
        return Err(AttemptFailure::NotConnected.into());
    }
    let response = match timeout(times.first_byte, sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => return Err(AttemptFailure::Broken.into()),
        Err(_) => return Err(AttemptFailure::TimedOut.into()),
    };
    if let Some(failed) = declined(&response, rule) {
        return Err(failed);
    }
    let (head, body) = response.into_parts();
    Ok(EndpointAnswer { head, body, _connection: connection })
}

/// Recognizes an answer that says the endpoint did not take the request.
fn declined(response: &Response<Incoming>, rule: DeclineRule) -> Option<FailedCall> {
    let is_leaving = response.headers().contains_key(LEAVING_HEADER);
    let is_declined = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => is_leaving || rule == DeclineRule::BusyOrLeaving,
        StatusCode::TOO_MANY_REQUESTS => rule == DeclineRule::BusyOrLeaving,
        _ => false,
    };
    is_declined.then_some(FailedCall { failure: AttemptFailure::Declined, is_leaving })
}

impl EndpointAnswer {
    /// The next piece of the body; nothing at its end.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if the connection broke or stayed silent for `idle_time`.
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

    /// The whole body.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] as for a piece, or if the body is larger than `limit` bytes.
    pub async fn collect(
        mut self,
        idle_time: Duration,
        limit: usize,
    ) -> Result<Bytes, AttemptFailure> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next_chunk(idle_time).await? {
            if whole.len() + piece.len() > limit {
                return Err(AttemptFailure::ServerError);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.into())
    }
}
