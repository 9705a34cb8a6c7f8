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
use cyper_core::{CompioTimer, HyperStream};
use futures_util::{AsyncReadExt, AsyncWriteExt, Stream};
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};

/// The largest request head that hyper reads before it answers 431 itself, in multiples of the router's own
/// limit, so that all but absurd heads get the router's typed refusal.
const HEAD_BUFFER_FACTOR: usize = 4;

/// The smallest buffer that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// What the callers of a port may send, and what they are told if they are too slow.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// How long the head of a request may take.
    pub read_time: Duration,
    /// The largest headers, in bytes.
    pub header_bytes: usize,
    /// The whole answer to a head that did not arrive in time, which hyper leaves unanswered.
    pub late_head_answer: fn() -> Vec<u8>,
}

/// The kernel's buffer for each connection's answers, in bytes (the kernel doubles it). A few hundred tokens,
/// so that a caller that stops reading is noticed and holds little memory; the default on a fast link is
/// megabytes.
const SEND_BUFFER_BYTES: u32 = 32 * 1024;

/// Connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// How long, and for how many bytes, a connection that is being closed is still read.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// See [`DRAIN_TIME`].
const MAX_DRAIN_BYTES: usize = 4 * 1024 * 1024;

/// How long to wait after a failed accept, so that a lack of descriptors does not spin the process.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How often a closing port looks whether its connections have ended.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// The connections of one port. They break when this is dropped.
#[derive(Debug, Clone, Default)]
struct PortConnections(Rc<RefCell<Vec<JoinHandle<()>>>>);

impl PortConnections {
    fn add(&self, task: JoinHandle<()>) {
        let mut tasks = self.0.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    fn are_ended(&self) -> bool {
        self.0.borrow().iter().all(JoinHandle::is_finished)
    }
}

/// A port that is open and does not answer yet.
#[derive(Debug)]
pub struct BoundListener {
    /// Where the port listens.
    pub address: SocketAddr,
    listener: TcpListener,
}

/// A port that accepts connections. It closes, and its connections break, when this is dropped.
#[derive(Debug)]
pub struct HttpListener {
    /// Where the port listens.
    pub address: SocketAddr,
    accepting: RefCell<Option<JoinHandle<()>>>,
    connections: PortConnections,
    /// Closed to tell the connections that they are to end.
    closing: async_channel::Sender<Infallible>,
}

impl HttpListener {
    /// Opens a port; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn bind(listen: SocketAddr) -> std::io::Result<BoundListener> {
        let listener = bind_listener(listen).await?;
        let address = listener.local_addr()?;
        Ok(BoundListener { address, listener })
    }

    /// Accepts no more connections, and waits until those that are open have sent their answers to the last
    /// byte, at most until `deadline`.
    pub async fn close(&self, deadline: Instant) {
        drop(self.accepting.take());
        self.closing.close();
        while !self.connections.are_ended() && Instant::now() < deadline {
            compio::time::sleep(CLOSE_POLL).await;
        }
    }
}

impl BoundListener {
    /// Answers each request with `answer`.
    pub fn serve<A, F, B>(self, limits: HeadLimits, answer: A) -> HttpListener
    where
        A: Fn(Request<Incoming>) -> F + Clone + Unpin + 'static,
        F: Future<Output = Result<Response<B>, Infallible>> + 'static,
        B: Body + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Self { address, listener } = self;
        let connections = PortConnections::default();
        let accepted = connections.clone();
        let (closing, closed) = async_channel::bounded(1);
        let accepting = compio::runtime::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let closed = closed.clone();
                        let connection = serve_connection(stream, limits, answer.clone(), closed);
                        accepted.add(compio::runtime::spawn(connection));
                    }
                    Err(_) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        });
        HttpListener { address, accepting: RefCell::new(Some(accepting)), connections, closing }
    }
}

async fn serve_connection<A, F, B>(
    stream: TcpStream,
    limits: HeadLimits,
    answer: A,
    closed: async_channel::Receiver<Infallible>,
) where
    A: Fn(Request<Incoming>) -> F + Unpin + 'static,
    F: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Tokens are small and late ones are visible to callers. A socket that refuses the option still works.
    let _ = stream.set_nodelay(true);
    let mut connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.read_time)
        .max_buf_size((HEAD_BUFFER_FACTOR * limits.header_bytes).max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(
            HyperStream::new_plain(stream),
            service_fn(move |request| Box::pin(answer(request))),
        );
    let mut closed = pin!(closed);
    let mut is_closing = false;
    let end = poll_fn(|context| {
        if !is_closing && closed.as_mut().poll_next(context).is_ready() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        connection.poll_without_shutdown(context)
    })
    .await;
    let parts = connection.into_parts();
    let mut stream = parts.io;
    match end {
        Ok(()) => close_gently(&mut stream).await,
        // Hyper has answered a malformed head itself.
        Err(error) if error.is_parse() => close_gently(&mut stream).await,
        // A connection without a request may be closed without a word.
        Err(error) if error.is_timeout() && !parts.read_buf.is_empty() => {
            if stream.write_all(&(limits.late_head_answer)()).await.is_ok() {
                close_gently(&mut stream).await;
            }
        }
        // A broken connection is an ordinary end: callers go away.
        Err(_) => {}
    }
}

/// Ends the answers, and reads what the caller still sends for a moment. A socket that is closed with unread
/// data resets the connection, and the caller may then lose an answer that it has not read.
async fn close_gently(stream: &mut HyperStream<TcpStream>) {
    let drain = async {
        stream.close().await?;
        let mut left = MAX_DRAIN_BYTES;
        let mut unread = [0; 4096];
        while left > 0 {
            match stream.read(&mut unread).await? {
                0 => break,
                count => left = left.saturating_sub(count),
            }
        }
        std::io::Result::Ok(())
    };
    // A caller that does not close in time is closed upon.
    let _ = timeout(DRAIN_TIME, drain).await;
}

async fn bind_listener(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit the size.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(listen).await?;
    socket.listen(LISTEN_BACKLOG).await
}
