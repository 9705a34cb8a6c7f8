use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::TcpListener;
use futures_util::{FutureExt as _, StreamExt as _, stream::FuturesUnordered};
use slog::{Logger, warn};
use snafu::{ResultExt as _, Snafu};

use crate::{
    MeshSettings, PeerClient, PeerHandler, accepted_connection::serve_accepted,
    dialed_connection::maintain_dialed, mesh_shared::MeshShared,
};

/// Limit on the accepted connections at a time, authenticated or not.
const MAX_ACCEPTED: usize = 1_024;

/// Interval at which silent peers are detected.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A tick that is late by more than this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Delay before the next accept after one failed, for instance because no file descriptors were left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Error while starting the mesh.
#[derive(Debug, Snafu)]
pub enum MeshError {
    /// The peer port could not be opened.
    #[snafu(display("cannot listen for peers on `{address}`: {source}; choose a free address"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The full mesh of connections to all peers.
///
/// ```no_run
/// # use bramleywind_peer::*;
/// # async fn start<H: PeerHandler + 'static>(
/// #     settings: MeshSettings, handler: std::rc::Rc<H>, log: slog::Logger,
/// # ) -> Result<(), MeshError> {
/// let mesh = PeerMesh::bind(settings).await?;
/// let client = mesh.client();
/// let running = compio::runtime::spawn(mesh.run(handler, log));
/// client.changes().changed().await;
/// println!("{} live peers", client.view().live().count());
/// # drop(running);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct PeerMesh {
    shared: Rc<MeshShared>,
    listener: TcpListener,
    dial_requests: async_channel::Receiver<SocketAddr>,
}

impl PeerMesh {
    /// Opens the peer port. Connections are accepted only while [`Self::run`] is polled.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be opened.
    pub async fn bind(settings: MeshSettings) -> Result<Self, MeshError> {
        let address = settings.listen;
        let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        let listened = listener.local_addr().context(ListenSnafu { address })?;
        let mut peer_address = settings.advertise.unwrap_or(listened);
        if peer_address.port() == 0 {
            peer_address.set_port(listened.port());
        }
        let (sender, dial_requests) = async_channel::unbounded();
        let shared = Rc::new(MeshShared::new(settings, peer_address, sender));
        Ok(Self { shared, listener, dial_requests })
    }

    /// Returns a handle that sends requests and shows the membership.
    pub fn client(&self) -> PeerClient {
        PeerClient::new(Rc::clone(&self.shared))
    }

    /// Returns the address at which peers reach this process.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.peer_address
    }

    /// Dials and accepts peers. Runs until the future is dropped, which closes all connections.
    pub async fn run<H: PeerHandler + 'static>(self, handler: Rc<H>, log: Logger) {
        for seed in &self.shared.settings.seeds {
            self.shared.request_dial(*seed);
        }
        futures_util::join!(
            self.accept_peers(&handler, &log),
            self.dial_peers(&handler, &log),
            self.detect_silent_peers(),
        );
    }

    async fn accept_peers<H: PeerHandler + 'static>(&self, handler: &Rc<H>, log: &Logger) {
        let mut connections = FuturesUnordered::new();
        loop {
            let mut accept = Box::pin(self.listener.accept().fuse());
            let accepted = loop {
                futures_util::select! {
                    accepted = accept => break accepted,
                    _ = connections.select_next_some() => {}
                }
            };
            match accepted {
                Ok((tcp, _)) if connections.len() < MAX_ACCEPTED => {
                    let shared = Rc::clone(&self.shared);
                    let serve = serve_accepted(shared, Rc::clone(handler), tcp, log.clone());
                    connections.push(compio::runtime::spawn(serve));
                }
                Ok(_) => warn!(log, "refused a peer connection: too many connections are open"),
                Err(error) => {
                    warn!(log, "cannot accept a peer connection"; "error" => %error);
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn dial_peers<H: PeerHandler + 'static>(&self, handler: &Rc<H>, log: &Logger) {
        let mut connections = FuturesUnordered::new();
        loop {
            let mut request = Box::pin(self.dial_requests.recv().fuse());
            let address = loop {
                futures_util::select! {
                    address = request => break address,
                    _ = connections.select_next_some() => {}
                }
            };
            // The shared state holds the sender, so the channel is not closed here.
            let Ok(address) = address else { return };
            let shared = Rc::clone(&self.shared);
            let dial = maintain_dialed(shared, Rc::clone(handler), address, log.clone());
            connections.push(compio::runtime::spawn(dial));
        }
    }

    async fn detect_silent_peers(&self) {
        let mut last_tick = Instant::now();
        loop {
            compio::time::sleep(TICK_INTERVAL).await;
            let now = Instant::now();
            let late = now.saturating_duration_since(last_tick).saturating_sub(TICK_INTERVAL);
            // Heartbeats that arrived during a pause of this process are still unread, so the pause is not
            // counted as silence.
            let pause = if late > PAUSE_THRESHOLD { late } else { Duration::ZERO };
            last_tick = now;
            let timing = &self.shared.settings.timing;
            self.shared.state.borrow_mut().membership.update_states(now, pause, timing);
        }
    }
}
