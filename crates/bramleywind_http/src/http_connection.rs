use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};

use super::{
    compact_stream::CompactStream,
    head_budget::{HeadBudget, MAX_BYTES_BEFORE_RESPONSE},
};

/// The largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The kernel's receive buffer of a connection, in bytes (the kernel doubles it). What has arrived and was not read yet takes
/// memory too; the kernel's own limit is megabytes for each connection.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// How long a connection is idle before the kernel probes it. A network partition drops packets without a reset,
/// so only a probe detects that the peer is gone. One second is the kernel's smallest value.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged. This is the same bound as that of the probes.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(3);

/// Reasons why a request on a connection got no response.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// The connection could not be established, so nothing was sent.
    #[snafu(display("failed to connect: {reason}"))]
    NotConnected {
        /// The cause of the failure.
        reason: Box<str>,
        /// Whether nothing listens at the address.
        is_refused: bool,
    },
    /// The connection was closed before the request was written to it.
    #[snafu(display("the connection was closed before the request was written"))]
    NotWritten,
    /// The peer sent more than is allowed before the head of its response was complete.
    #[snafu(display("the head of the response is not complete after {limit} bytes"))]
    HeadTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The connection failed after the request may have been written.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// The error of the HTTP protocol.
        source: hyper::Error,
    },
}

impl ConnectionError {
    /// Returns whether the request is known not to have been sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::NotWritten)
    }
}

/// A client connection to another process, which carries one request at a time.
///
/// Dropping it, or dropping a response before its end, closes the connection.
#[derive(Debug)]
pub struct HttpConnection<B> {
    sender: http1::SendRequest<B>,
    _driver: JoinHandle<()>,
    last_use: Instant,
    head_budget: HeadBudget,
}

impl<B> HttpConnection<B>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Connects to `address`, within `time_limit`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotConnected`] if the connection fails or is not established in that time.
    pub async fn connect(
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Self, ConnectionError> {
        let not_connected = |reason: &dyn std::fmt::Display| ConnectionError::NotConnected {
            reason: reason.to_string().into(),
            is_refused: false,
        };
        let stream = match timeout(time_limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                return Err(ConnectionError::NotConnected {
                    reason: error.to_string().into(),
                    is_refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
                });
            }
            Err(_) => return Err(not_connected(&"timed out")),
        };
        set_options(&stream).map_err(|error| not_connected(&error))?;
        let head_budget = HeadBudget::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(CompactStream::with_head_budget(stream, head_budget.clone()))
            .await
            .map_err(|error| not_connected(&error))?;
        let driver = compio::runtime::spawn(async move {
            // The future of the request returns the error.
            let _ = connection.await;
        });
        Ok(Self { sender, _driver: driver, last_use: Instant::now(), head_budget })
    }

    /// Returns true if another request can be sent now. False once the peer has closed the connection.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// The time at which the last request was sent, or the connection was established if there was none.
    pub fn last_use(&self) -> Instant {
        self.last_use
    }

    /// Waits until the last response has ended, so that another request can be sent.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotWritten`] if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), ConnectionError> {
        self.sender.ready().await.map_err(|_| ConnectionError::NotWritten)
    }

    /// Sends a request and waits for the head of its response. There is no time limit; the caller sets one.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotWritten`] if no part of the request was sent, [`ConnectionError::HeadTooLarge`] if the head of the
    /// response has no end, otherwise [`ConnectionError::Broken`].
    pub async fn send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.last_use = Instant::now();
        self.head_budget.begin();
        let result = self.sender.try_send_request(request).await;
        let is_exceeded = self.head_budget.end();
        result.map_err(|mut failed| {
            if failed.take_message().is_some() {
                return ConnectionError::NotWritten;
            }
            match failed.into_error() {
                _ if is_exceeded => {
                    ConnectionError::HeadTooLarge { limit: MAX_BYTES_BEFORE_RESPONSE }
                }
                error if error.is_parse_too_large() => {
                    ConnectionError::HeadTooLarge { limit: MAX_HEAD_BYTES }
                }
                source => ConnectionError::Broken { source },
            }
        })
    }
}

/// Sets socket options so that small messages are sent at once and a peer that vanished silently is detected.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize)?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES),
    )?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
}
