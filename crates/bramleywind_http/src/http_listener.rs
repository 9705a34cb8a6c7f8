use std::{
    cell::RefCell,
    convert::Infallible,
    future::poll_fn,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::JoinHandle,
    time::timeout,
};
use cyper_core::CompioTimer;
use futures_util::{AsyncReadExt, AsyncWriteExt, Stream};
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};

use super::{
    ConnectionCount, compact_stream::CompactStream, connection_count::CountedConnection,
    http_connection::RECEIVE_BUFFER_BYTES,
};

/// The largest request head that hyper reads before it responds with 431 itself, as a multiple of the router's
/// own limit, so that all but extremely large heads get the router's typed refusal.
const HEAD_BUFFER_FACTOR: usize = 4;

/// The smallest buffer that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Limits on the request heads of a port, and the response to a head that arrives too late.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// How long the head of a request may take to arrive.
    pub read_time: Duration,
    /// The largest total size of the headers, in bytes.
    pub header_bytes: usize,
    /// Returns the complete response, head included, to a head that did not arrive in time. Hyper itself sends none.
    pub timeout_response: fn() -> Vec<u8>,
}

/// The kernel's send buffer of each connection, in bytes (the kernel doubles it). It holds a few hundred tokens, so
/// that a caller that stops reading is detected and ties up little memory; the default on a fast link is megabytes.
const SEND_BUFFER_BYTES: u32 = 32 * 1024;

/// The number of connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// How long a connection that is being closed is still read.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// How many bytes are still read from a connection that is being closed.
const MAX_DRAIN_BYTES: usize = 4 * 1024 * 1024;

/// How long to wait after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How often a port that takes no connections for a while checks whether it may open again.
const REOPEN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a port that is about to close waits for each further connection that was already established. Such a connection
/// would be reset.
const BACKLOG_WAIT: Duration = Duration::from_millis(1);

/// How often a closing port checks whether its connections have ended.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The tasks that serve the connections of one port. Dropping them aborts the connections.
#[derive(Debug, Clone, Default)]
struct ConnectionTasks(Rc<RefCell<Vec<JoinHandle<()>>>>);

impl ConnectionTasks {
    fn add(&self, task: JoinHandle<()>) {
        let mut tasks = self.0.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    fn have_ended(&self) -> bool {
        self.0.borrow().iter().all(JoinHandle::is_finished)
    }
}

/// A port that is open but not served yet.
#[derive(Debug)]
pub struct BoundListener {
    /// The address that the port listens on.
    pub address: SocketAddr,
    listener: TcpListener,
    connection_count: ConnectionCount,
}

/// A port that accepts connections. Dropping it closes the port and aborts its connections.
#[derive(Debug)]
pub struct HttpListener {
    /// The address that the port listens on.
    pub address: SocketAddr,
    accept_task: RefCell<Option<JoinHandle<()>>>,
    connections: ConnectionTasks,
    /// Tells the connections to shut down, by being closed.
    close_signal: async_channel::Sender<Infallible>,
}

impl HttpListener {
    /// Opens a port. Port 0 selects a free one.
    ///
    /// # Errors
    ///
    /// [`std::io::Error`] if the address cannot be listened on.
    pub async fn bind(listen: SocketAddr) -> std::io::Result<BoundListener> {
        let listener = bind_listener(listen).await?;
        let address = listener.local_addr()?;
        Ok(BoundListener { address, listener, connection_count: ConnectionCount::default() })
    }

    /// Stops accepting connections, and waits until the open ones have sent their responses completely, at most
    /// until `deadline`.
    pub async fn close(&self, deadline: Instant) {
        drop(self.accept_task.take());
        self.close_signal.close();
        while !self.connections.have_ended() && Instant::now() < deadline {
            compio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }
}

impl BoundListener {
    /// Returns the number of the port's open connections, which changes as they open and close.
    pub fn connection_count(&self) -> ConnectionCount {
        self.connection_count.clone()
    }

    /// Serves each request with `handler`.
    pub fn serve<A, F, B>(self, limits: HeadLimits, handler: A) -> HttpListener
    where
        A: Fn(Request<Incoming>) -> F + Clone + Unpin + 'static,
        F: Future<Output = Result<Response<B>, Infallible>> + 'static,
        B: Body + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        self.serve_while(limits, || true, handler)
    }

    /// Serves each request with `handler`. While `takes_connections` returns false, the port is closed, so that new
    /// connections are refused at once and callers turn to another address. Open connections are served as before.
    pub fn serve_while<A, F, B>(
        self,
        limits: HeadLimits,
        takes_connections: impl Fn() -> bool + 'static,
        handler: A,
    ) -> HttpListener
    where
        A: Fn(Request<Incoming>) -> F + Clone + Unpin + 'static,
        F: Future<Output = Result<Response<B>, Infallible>> + 'static,
        B: Body + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Self { address, listener, connection_count } = self;
        let connections = ConnectionTasks::default();
        let open_connections = connections.clone();
        let (close_signal, closed) = async_channel::bounded(1);
        let accept_task = compio::runtime::spawn(async move {
            let serve = |stream| {
                let counted = connection_count.begin_connection();
                let connection =
                    serve_connection(stream, limits, handler.clone(), closed.clone(), counted);
                open_connections.add(compio::runtime::spawn(connection));
            };
            let mut listener = listener;
            loop {
                if !takes_connections() {
                    accept_backlog(&mut listener, &serve).await;
                    drop(listener);
                    listener = reopen(address, &takes_connections).await;
                }
                match listener.accept().await {
                    Ok((stream, _)) => serve(stream),
                    Err(_) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        });
        HttpListener {
            address,
            accept_task: RefCell::new(Some(accept_task)),
            connections,
            close_signal,
        }
    }
}

async fn serve_connection<A, F, B>(
    stream: TcpStream,
    limits: HeadLimits,
    handler: A,
    closed: async_channel::Receiver<Infallible>,
    _counted: CountedConnection,
) where
    A: Fn(Request<Incoming>) -> F + Unpin + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Tokens are small, and callers notice if they are delayed. A socket that rejects the option still works.
    let _ = stream.set_nodelay(true);
    let mut connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.read_time)
        .max_buf_size((HEAD_BUFFER_FACTOR * limits.header_bytes).max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(
            CompactStream::new(stream),
            service_fn(move |request| Box::pin(handler(request))),
        );
    let mut closed = pin!(closed);
    let mut is_closing = false;
    let result = poll_fn(|context| {
        if !is_closing && closed.as_mut().poll_next(context).is_ready() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        connection.poll_without_shutdown(context)
    })
    .await;
    let parts = connection.into_parts();
    let mut stream = parts.io;
    match result {
        Ok(()) => close_gracefully(&mut stream).await,
        // Hyper has already responded to a malformed head.
        Err(error) if error.is_parse() => close_gracefully(&mut stream).await,
        // A connection on which no request was begun is closed without a response.
        Err(error) if error.is_timeout() && !parts.read_buf.is_empty() => {
            if stream.write_all(&(limits.timeout_response)()).await.is_ok() {
                close_gracefully(&mut stream).await;
            }
        }
        // A broken connection is normal: callers disconnect.
        Err(_) => {}
    }
}

/// Closes the sending side, and then reads and discards what the caller still sends, for a short time. Closing a
/// socket with unread data resets the connection, and the caller may then lose a response that it has not read.
async fn close_gracefully(stream: &mut CompactStream) {
    let drain = async {
        stream.close().await?;
        let mut remaining = MAX_DRAIN_BYTES;
        let mut unread = [0; 4096];
        while remaining > 0 {
            match stream.read(&mut unread).await? {
                0 => break,
                count => remaining = remaining.saturating_sub(count),
            }
        }
        std::io::Result::Ok(())
    };
    // If the caller does not close its side in time, the connection is closed nevertheless.
    let _ = timeout(DRAIN_TIME, drain).await;
}

/// Serves the connections that wait to be accepted.
async fn accept_backlog(listener: &mut TcpListener, serve: impl Fn(TcpStream)) {
    for _ in 0..LISTEN_BACKLOG {
        match timeout(BACKLOG_WAIT, listener.accept()).await {
            Ok(Ok((stream, _))) => serve(stream),
            // None waits any longer, or none can be accepted.
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Opens a port again once it may take connections.
async fn reopen(address: SocketAddr, takes_connections: impl Fn() -> bool) -> TcpListener {
    loop {
        compio::time::sleep(REOPEN_POLL_INTERVAL).await;
        if takes_connections()
            && let Ok(listener) = bind_listener(address).await
        {
            return listener;
        }
    }
}

async fn bind_listener(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit these sizes.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(listen).await?;
    socket.listen(LISTEN_BACKLOG).await
}
