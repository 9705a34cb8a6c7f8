use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use cyper_core::HyperStream;
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How long a connection is silent before the kernel probes it. A partition drops packets without a reset, so
/// only a probe shows that the peer is gone; one second is the kernel's finest step.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the kernel ends the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may stay without an acknowledgement. The same bound as the probes give.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(3);

/// Why a request on a connection had no answer.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// The connection was not made: nothing was sent.
    #[snafu(display("no connection was made: {reason}"))]
    NotConnected {
        /// What failed.
        reason: Box<str>,
    },
    /// The connection had ended before the request was written to it.
    #[snafu(display("the connection had ended before the request was written"))]
    NotWritten,
    /// The connection broke after the request may have been written.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The protocol's error.
        source: hyper::Error,
    },
}

/// A connection to another process, which carries one request at a time.
///
/// Dropping it, or dropping a request before its answer has ended, closes the connection.
#[derive(Debug)]
pub struct HttpConnection<B> {
    sender: http1::SendRequest<B>,
    _driver: JoinHandle<()>,
    last_use: Instant,
}

impl<B> HttpConnection<B>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Connects to `address`, for at most `patience`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotConnected`] if there is no connection in that time.
    pub async fn connect(address: SocketAddr, patience: Duration) -> Result<Self, ConnectionError> {
        let not_connected = |reason: &dyn std::fmt::Display| ConnectionError::NotConnected {
            reason: reason.to_string().into(),
        };
        let stream = match timeout(patience, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_connected(&error)),
            Err(_) => return Err(not_connected(&"timed out")),
        };
        set_options(&stream).map_err(|error| not_connected(&error))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|error| not_connected(&error))?;
        let driver = compio::runtime::spawn(async move {
            // The error reaches the request through its own future.
            let _ = connection.await;
        });
        Ok(Self { sender, _driver: driver, last_use: Instant::now() })
    }

    /// Whether another request can be sent now. Also false once the peer has closed the connection.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// When the last request was sent.
    pub fn last_use(&self) -> Instant {
        self.last_use
    }

    /// Waits until the last answer has ended, so that another request can be sent.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotWritten`] if the connection has ended.
    pub async fn ready(&mut self) -> Result<(), ConnectionError> {
        self.sender.ready().await.map_err(|_| ConnectionError::NotWritten)
    }

    /// Sends a request and waits for the head of its answer. The caller bounds the time.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotWritten`] if nothing of the request was sent, else [`ConnectionError::Broken`].
    pub async fn send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.last_use = Instant::now();
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            if failed.take_message().is_some() {
                ConnectionError::NotWritten
            } else {
                ConnectionError::Broken { source: failed.into_error() }
            }
        })
    }
}

/// Small messages leave at once, and a peer that is silently gone is noticed.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES),
    )?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
}
