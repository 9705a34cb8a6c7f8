//! The connections of the caller and operator ports, one task each.

use std::{cell::RefCell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use compio::{
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
};
use cyper_core::{CompioTimer, HyperStream};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};

use crate::AnswerBody;

/// The largest request head that hyper reads before it answers 431 itself, in bytes. Larger than the
/// router's own limit, so that all but absurd heads get the router's typed refusal.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// How long to wait after a failed accept, so that a lack of descriptors does not spin the process.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The connections of one port. They break when this is dropped.
#[derive(Debug, Clone, Default)]
pub struct PortConnections(Rc<RefCell<Vec<JoinHandle<()>>>>);

impl PortConnections {
    fn add(&self, task: JoinHandle<()>) {
        let mut tasks = self.0.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
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
    _accepting: JoinHandle<()>,
    _connections: PortConnections,
}

impl HttpListener {
    /// Opens a port; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn bind(listen: SocketAddr) -> std::io::Result<BoundListener> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        Ok(BoundListener { address, listener })
    }
}

impl BoundListener {
    /// Answers each request with `answer`. A caller may take `read_time` for the head of a request.
    pub fn serve<A, F>(self, read_time: Duration, answer: A) -> HttpListener
    where
        A: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Result<Response<AnswerBody>, Infallible>> + 'static,
    {
        let Self { address, listener } = self;
        let connections = PortConnections::default();
        let accepted = connections.clone();
        let accepting = compio::runtime::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let connection = serve_connection(stream, read_time, answer.clone());
                        accepted.add(compio::runtime::spawn(connection));
                    }
                    Err(_) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
        });
        HttpListener { address, _accepting: accepting, _connections: connections }
    }
}

async fn serve_connection<A, F>(stream: TcpStream, read_time: Duration, answer: A)
where
    A: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<AnswerBody>, Infallible>> + 'static,
{
    // Tokens are small and late ones are visible to callers. A socket that refuses the option still works.
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(read_time)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(HyperStream::new_plain(stream), service_fn(answer));
    // A broken connection is an ordinary end: callers go away, and hyper has answered malformed requests.
    let _ = connection.await;
}
