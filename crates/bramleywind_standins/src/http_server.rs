//! A small HTTP server over compio that every stand-in runs on.
//!
//! A stand-in has to break in the ways that the platform breaks, so the server can drop a connection in
//! place of an answer, and can go down as a whole and come back on the same address.

mod http_answer;
mod server_error;

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
};
use cyper_core::{CompioTimer, HyperStream};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{Either, select},
};
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use snafu::ResultExt as _;

pub(crate) use http_answer::{
    ResponseBody, answer, json_answer, parse_query, read_body, read_json, text_answer,
};
use server_error::BindSnafu;
pub use server_error::{ConnectionDropped, StandinError};

/// How long the server waits before it binds its old address again, if another process has taken it.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// How long the server waits after a failed accept, so that a lack of descriptors does not spin it.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What a stand-in does with a request.
pub(crate) trait HttpHandler: 'static {
    /// The body of its answers.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static;

    /// Answers a request, or drops its connection.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Self::Body>, ConnectionDropped>>;
}

/// Takes a server down from inside a handler.
///
/// The order goes through a channel, since a connection's task cannot cancel itself.
#[derive(Debug, Clone)]
pub(crate) struct DownSwitch {
    sender: UnboundedSender<Instant>,
}

impl DownSwitch {
    /// Drops all connections and refuses new ones until `deadline`.
    pub(crate) fn go_down_until(&self, deadline: Instant) {
        // A closed channel means that the server has stopped, which is down for good.
        drop(self.sender.unbounded_send(deadline));
    }
}

/// The two ends of a server's switch, made before the server so that its handler can hold one.
pub(crate) fn down_switch() -> (DownSwitch, UnboundedReceiver<Instant>) {
    let (sender, receiver) = unbounded();
    (DownSwitch { sender }, receiver)
}

/// A running server. It stops, and its connections break, when it is dropped.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    _accepting: JoinHandle<()>,
    connections: Connections,
}

#[derive(Debug, Clone, Default)]
struct Connections(Rc<RefCell<Vec<JoinHandle<()>>>>);

impl Connections {
    fn add(&self, task: JoinHandle<()>) {
        let mut tasks = self.0.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    fn drop_all(&self) {
        // Moved out first: a connection's end may run code that adds to the list.
        let tasks = std::mem::take(&mut *self.0.borrow_mut());
        drop(tasks);
    }
}

impl HttpServer {
    /// Serves on `listen`, whose port may be zero.
    pub(crate) async fn start<H: HttpHandler>(
        listen: SocketAddr,
        handler: Rc<H>,
        downs: UnboundedReceiver<Instant>,
    ) -> Result<Self, StandinError> {
        let listener = TcpListener::bind(listen).await.context(BindSnafu { address: listen })?;
        let address = listener.local_addr().context(BindSnafu { address: listen })?;
        let connections = Connections::default();
        let accepting =
            compio::runtime::spawn(run(address, listener, handler, downs, connections.clone()));
        Ok(Self { address, _accepting: accepting, connections })
    }

    /// Where the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.connections.drop_all();
    }
}

async fn run<H: HttpHandler>(
    address: SocketAddr,
    mut listener: TcpListener,
    handler: Rc<H>,
    mut downs: UnboundedReceiver<Instant>,
    connections: Connections,
) {
    // The switch may be gone while the server runs on; an ended channel must then not be polled again.
    let has_switch = Cell::new(true);
    loop {
        let accepted = {
            let down = async {
                match downs.next().await {
                    Some(deadline) => deadline,
                    None => {
                        has_switch.set(false);
                        std::future::pending().await
                    }
                }
            }
            .boxed_local();
            match select(down, listener.accept().boxed_local()).await {
                Either::Left((deadline, _)) => Err(deadline),
                Either::Right((accepted, _)) => Ok(accepted),
            }
        };
        match accepted {
            Ok(Ok((stream, _))) => {
                connections.add(compio::runtime::spawn(serve(stream, handler.clone())));
            }
            Ok(Err(_)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Err(deadline) => {
                connections.drop_all();
                // A failed close leaves nothing to do: the descriptor is gone either way.
                drop(listener.close().await);
                compio::time::sleep_until(deadline).await;
                listener = rebind(address).await;
            }
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => compio::time::sleep(REBIND_DELAY).await,
        }
    }
}

async fn serve<H: HttpHandler>(stream: TcpStream, handler: Rc<H>) {
    // Tokens are small and late ones are visible to callers. A socket that refuses the option still works.
    drop(stream.set_nodelay(true));
    let service = service_fn(move |request| handler.clone().handle(request));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        // Closing idle connections would be a fault that nobody switched on.
        .header_read_timeout(None)
        .serve_connection(HyperStream::new_plain(stream), service);
    // A broken connection is an ordinary end here: clients go away, and handlers drop connections.
    drop(connection.await);
}
