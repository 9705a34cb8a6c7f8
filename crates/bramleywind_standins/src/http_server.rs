//! A small HTTP server on compio that all stand-ins use.
//!
//! Stand-ins reproduce the failures of the platform, so the server can drop a connection instead of sending a
//! response, and can go down entirely and come back on the same address.

mod http_response;
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

pub(crate) use http_response::{
    ResponseBody, json_response, parse_query, plain_response, read_body, read_json, text_response,
};
use server_error::BindSnafu;
pub use server_error::{ConnectionDropped, StandinError};

/// Delay between attempts to bind the old address again, for example while another process uses it.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A handler of the requests that a stand-in receives.
pub(crate) trait HttpHandler: 'static {
    /// The body type of the responses.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static;

    /// Returns the response to a request, or [`ConnectionDropped`] to close the connection without one.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Self::Body>, ConnectionDropped>>;
}

/// A sender with which a handler requests an outage of its own server.
///
/// The request is sent through a channel, because the task of a connection cannot cancel itself.
#[derive(Debug, Clone)]
pub(crate) struct OutageSender {
    sender: UnboundedSender<Instant>,
}

impl OutageSender {
    /// Makes the server drop all connections and refuse new ones until `deadline`.
    pub(crate) fn start_outage(&self, deadline: Instant) {
        // A closed channel means that the server has already stopped for good.
        drop(self.sender.unbounded_send(deadline));
    }
}

/// Creates the channel for outages. It exists before the server, so that the server's handler can hold the
/// sender.
pub(crate) fn outage_channel() -> (OutageSender, UnboundedReceiver<Instant>) {
    let (sender, receiver) = unbounded();
    (OutageSender { sender }, receiver)
}

/// A running server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    _accept_task: JoinHandle<()>,
    connections: Connections,
}

/// The tasks of the open connections; dropping a task closes its connection.
#[derive(Debug, Clone, Default)]
struct Connections(Rc<RefCell<Vec<JoinHandle<()>>>>);

impl Connections {
    fn add(&self, task: JoinHandle<()>) {
        let mut tasks = self.0.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    fn drop_all(&self) {
        // The list is taken out first, because dropping a task may run code that adds to it.
        let tasks = std::mem::take(&mut *self.0.borrow_mut());
        drop(tasks);
    }
}

impl HttpServer {
    /// Starts a server on `listen`; port 0 picks a free port.
    pub(crate) async fn start<H: HttpHandler>(
        listen: SocketAddr,
        handler: Rc<H>,
        outage_receiver: UnboundedReceiver<Instant>,
    ) -> Result<Self, StandinError> {
        let listener = TcpListener::bind(listen).await.context(BindSnafu { address: listen })?;
        let address = listener.local_addr().context(BindSnafu { address: listen })?;
        let connections = Connections::default();
        let accept_task = compio::runtime::spawn(accept_connections(
            address,
            listener,
            handler,
            outage_receiver,
            connections.clone(),
        ));
        Ok(Self { address, _accept_task: accept_task, connections })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.connections.drop_all();
    }
}

/// Accepts connections, and takes the server down and up again for each requested outage.
async fn accept_connections<H: HttpHandler>(
    address: SocketAddr,
    mut listener: TcpListener,
    handler: Rc<H>,
    mut outage_receiver: UnboundedReceiver<Instant>,
    connections: Connections,
) {
    // The sender may be dropped while the server keeps running. A closed channel must not end the accept loop.
    let is_channel_open = Cell::new(true);
    loop {
        let accepted = {
            let outage = async {
                match outage_receiver.next().await {
                    Some(deadline) => deadline,
                    None => {
                        is_channel_open.set(false);
                        std::future::pending().await
                    }
                }
            }
            .boxed_local();
            match select(outage, listener.accept().boxed_local()).await {
                Either::Left((deadline, _)) => Err(deadline),
                Either::Right((accepted, _)) => Ok(accepted),
            }
        };
        match accepted {
            Ok(Ok((stream, _))) => {
                connections.add(compio::runtime::spawn(handle_connection(stream, handler.clone())));
            }
            Ok(Err(_)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Err(deadline) => {
                connections.drop_all();
                // A failed close needs no handling: the file descriptor is released either way.
                drop(listener.close().await);
                compio::time::sleep_until(deadline).await;
                listener = rebind(address).await;
            }
        }
    }
}

/// Binds the address of the server again, with retries until that succeeds.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => compio::time::sleep(REBIND_DELAY).await,
        }
    }
}

async fn handle_connection<H: HttpHandler>(stream: TcpStream, handler: Rc<H>) {
    // Tokens are small, and callers notice late ones. A socket that rejects the option still works.
    drop(stream.set_nodelay(true));
    let service = service_fn(move |request| handler.clone().handle(request));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        // Closing idle connections would be a fault that no test asked for.
        .header_read_timeout(None)
        .serve_connection(HyperStream::new_plain(stream), service);
    // A connection error is expected here: clients disconnect, and handlers drop connections.
    drop(connection.await);
}
