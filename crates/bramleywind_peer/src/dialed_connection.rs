//! The connection that this process dials to one address, and dials again whenever it breaks.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_types::InstanceId;
use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::{FutureExt as _, future};
use slog::{Logger, debug, info, warn};
use snafu::ResultExt as _;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::{
    ConnectionError, PeerHandler,
    connection_error::{ConnectSnafu, TransportSnafu},
    mesh_shared::MeshShared,
    message_bucket::MessageBucket,
    outbound_queue::outbound_queue,
    peer_link::PeerLink,
    reconnect_delay::ReconnectDelay,
    wire::{
        AcceptorMessage, DialerMessage, FrameReader, FrameWriter, HandshakeTranscript, Nonce,
        PROTOCOL_VERSION, PeerIdentity, PeerRequest, ProofSide, RefusalReason, decode_message,
        encode_frame,
    },
};

/// Request path of the only stream of a connection.
pub(crate) const STREAM_PATH: &str = "/peer";

/// The h2 window, in bytes. A complete frame fits into it, so that a large message is sent in one round trip.
pub(crate) const WINDOW_BYTES: u32 = 2 * 1024 * 1024;

/// Duration after which a connection counts as stable, so that the reconnect delay starts again from its
/// initial value.
const STABLE_AFTER: Duration = Duration::from_secs(5);

/// How long an address that was learned from peers, and is not a seed, is dialed without success before it is
/// dropped.
const FORGET_AFTER: Duration = Duration::from_secs(10 * 60);

/// Keeps a connection to an address until the task is dropped, or the address turns out to be useless: it
/// is this process itself, or it was learned from peers and has not answered for [`FORGET_AFTER`].
pub(crate) async fn maintain_dialed<H: PeerHandler>(
    shared: Rc<MeshShared>,
    handler: Rc<H>,
    address: SocketAddr,
    log: Logger,
) {
    let mut delay = ReconnectDelay::new(shared.settings.timing.max_reconnect_delay);
    let is_seed = shared.settings.seeds.contains(&address);
    let mut last_success = Instant::now();
    let mut is_failing = false;
    loop {
        let started = Instant::now();
        let mut connection =
            DialedConnection { shared: &shared, handler: &handler, address, log: &log, link: None };
        let error = connection.run().await;
        let link = connection.link.take();
        if let Some(link) = &link {
            shared.remove_link(link);
            link.disconnect();
            shared.count_connection_end(Some(&link.peer.instance), &error);
            last_success = Instant::now();
        }
        match &error {
            ConnectionError::OwnAddress => return,
            ConnectionError::Duplicate { instance } => wait_until_unlinked(&shared, instance).await,
            _ if link.is_some() || !is_failing => {
                warn!(log, "peer connection ended"; "address" => %address, "error" => %error);
            }
            _ => debug!(log, "peer connection failed"; "address" => %address, "error" => %error),
        }
        is_failing = link.is_none();
        if !is_seed && last_success.elapsed() > FORGET_AFTER {
            shared.forget_dialed(address);
            return;
        }
        if link.is_some() && started.elapsed() > STABLE_AFTER {
            delay.reset();
        }
        compio::time::sleep(delay.next()).await;
    }
}

async fn wait_until_unlinked(shared: &Rc<MeshShared>, instance: &InstanceId) {
    let mut listener = crate::ChangeListener::new(Rc::clone(shared));
    while shared.link(instance).is_some() {
        listener.changed().await;
    }
}

struct DialedConnection<'a, H> {
    shared: &'a Rc<MeshShared>,
    handler: &'a Rc<H>,
    address: SocketAddr,
    log: &'a Logger,
    /// The link, once the handshake is complete.
    link: Option<Rc<PeerLink>>,
}

impl<H: PeerHandler> DialedConnection<'_, H> {
    async fn run(&mut self) -> ConnectionError {
        match self.connect_and_run().await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn connect_and_run(&mut self) -> Result<std::convert::Infallible, ConnectionError> {
        let timeout = self.shared.settings.timing.handshake_timeout;
        let connect = compio::time::timeout(timeout, TcpStream::connect(self.address));
        let tcp = connect.await.map_err(|_| ConnectionError::Silent)?.context(ConnectSnafu)?;
        // Messages are small and their replies are waited for, so they must not be delayed to be merged.
        tcp.set_nodelay(true).context(ConnectSnafu)?;
        let io = HyperStream::new_plain(tcp).compat();
        let handshake = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake::<_, Bytes>(io);
        let (sender, connection) = compio::time::timeout(timeout, handshake)
            .await
            .map_err(|_| ConnectionError::Silent)?
            .context(TransportSnafu)?;
        let drive = connection.map(|ended| match ended {
            Ok(()) => Err(ConnectionError::Closed),
            Err(source) => Err(ConnectionError::Transport { source }),
        });
        let exchange = self.exchange_messages(sender);
        future::select(Box::pin(drive), Box::pin(exchange)).await.factor_first().0
    }

    async fn exchange_messages(
        &mut self,
        sender: h2::client::SendRequest<Bytes>,
    ) -> Result<std::convert::Infallible, ConnectionError> {
        let timeout = self.shared.settings.timing.handshake_timeout;
        let (peer, reader, writer) = compio::time::timeout(timeout, self.perform_handshake(sender))
            .await
            .map_err(|_| ConnectionError::Silent)??;
        let (outbound, queue) = outbound_queue();
        let link = Rc::new(PeerLink::new(peer, self.address, outbound));
        let instance = &link.peer.instance;
        self.link = Some(Rc::clone(&link));
        self.shared.add_link(Rc::clone(&link));
        info!(self.log, "peer connected"; "peer" => %instance, "address" => %self.address);

        let rate_limit = MessageBucket::outgoing(Instant::now());
        let write = self.shared.write_frames(instance, queue, writer, Some(rate_limit));
        let read = self.read_replies(&link, reader);
        let heartbeats = self.send_heartbeats(&link);
        let ended =
            future::select_all([write.boxed_local(), read.boxed_local(), heartbeats.boxed_local()]);
        Err(ended.await.0)
    }

    async fn perform_handshake(
        &self,
        sender: h2::client::SendRequest<Bytes>,
    ) -> Result<(PeerIdentity, FrameReader, FrameWriter), ConnectionError> {
        let mut sender = sender.ready().await.context(TransportSnafu)?;
        let request = http::Request::post(STREAM_PATH)
            .body(())
            .map_err(|error| ConnectionError::Malformed { detail: error.to_string().into() })?;
        let (response, stream) = sender.send_request(request, false).context(TransportSnafu)?;
        let mut writer = FrameWriter::new(stream);

        let own = self.shared.identity();
        let nonce: Nonce = rand::random();
        let hello =
            DialerMessage::Hello { version: PROTOCOL_VERSION, identity: own.clone(), nonce };
        writer.send(encode_frame(&hello)?).await?;
        let body = response.await.context(TransportSnafu)?.into_body();
        let mut reader = FrameReader::new(body);
        let (peer, acceptor_nonce, proof) = match decode_message(&reader.next().await?)? {
            AcceptorMessage::Challenge { identity, nonce, proof } => (identity, nonce, proof),
            other => return Err(handshake_message_error(other)),
        };
        if peer.instance == own.instance {
            return Err(ConnectionError::OwnAddress);
        }
        let transcript = HandshakeTranscript {
            version: PROTOCOL_VERSION,
            dialer: own,
            acceptor: peer.clone(),
            dialer_nonce: nonce,
            acceptor_nonce,
        };
        let secret = &self.shared.settings.secret;
        if !transcript.verify(secret, ProofSide::Acceptor, &proof) {
            return Err(ConnectionError::Secret { instance: peer.instance });
        }
        let instance = &peer.instance;
        if self.shared.link(instance).is_some_and(|link| link.address != self.address) {
            return Err(ConnectionError::Duplicate { instance: instance.clone() });
        }
        if self.shared.is_cut_from(instance) || self.shared.is_cut_to(instance) {
            // Acts as if the messages were lost; the handshake timeout ends the connection.
            future::pending::<()>().await;
        }
        let proof = transcript.prove(secret, ProofSide::Dialer);
        writer.send(encode_frame(&DialerMessage::Proof(proof))?).await?;
        match decode_message(&reader.next().await?)? {
            AcceptorMessage::Welcome => {}
            other => return Err(handshake_message_error(other)),
        }
        if !self.shared.state.borrow_mut().membership.admit_run(instance, peer.run) {
            return Err(ConnectionError::Refused { reason: RefusalReason::RetiredRun });
        }
        reader.allow_large_frames();
        Ok((peer, reader, writer))
    }

    async fn read_replies(&self, link: &PeerLink, mut reader: FrameReader) -> ConnectionError {
        let instance = &link.peer.instance;
        let dead_after = self.shared.settings.timing.dead_after;
        let mut bucket = MessageBucket::incoming(Instant::now());
        let mut deadline = Instant::now() + dead_after;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let message = match compio::time::timeout(remaining, reader.next()).await {
                Err(_) => return ConnectionError::Silent,
                Ok(Err(error)) => return error,
                Ok(Ok(message)) => message,
            };
            if self.shared.is_cut_from(instance) {
                continue;
            }
            self.shared.count_received(instance, &message);
            if bucket.take(Instant::now()).is_err() {
                return ConnectionError::Flood;
            }
            match decode_message(&message) {
                Err(error) => return error,
                Ok(AcceptorMessage::Reply(envelope)) => link.complete_request(envelope),
                Ok(_) => {
                    let detail = "handshake message after the handshake".into();
                    return ConnectionError::Malformed { detail };
                }
            }
            deadline = Instant::now() + dead_after;
        }
    }

    async fn send_heartbeats(&self, link: &PeerLink) -> ConnectionError {
        let instance = &link.peer.instance;
        let interval = self.shared.settings.timing.heartbeat_interval;
        let mut acknowledged = None;
        loop {
            let sent = Instant::now();
            let heartbeat = self.shared.heartbeat(self.handler.status());
            let known = self.shared.state.borrow().membership.live_peer_addresses(instance);
            let changed_addresses = (acknowledged.as_ref() != Some(&known)).then(|| known.clone());
            let request = PeerRequest::Heartbeat { heartbeat, known: changed_addresses };
            // A lost reply only costs a measurement: `read_replies` ends a connection that is silent.
            if link.request(request, interval).await.is_ok() {
                acknowledged = Some(known);
                let mut state = self.shared.state.borrow_mut();
                state.membership.record_round_trip(instance, sent.elapsed());
            }
            compio::time::sleep(interval.saturating_sub(sent.elapsed())).await;
        }
    }
}

fn handshake_message_error(message: AcceptorMessage) -> ConnectionError {
    match message {
        AcceptorMessage::Refused(RefusalReason::Version(version)) => {
            ConnectionError::Version { version }
        }
        AcceptorMessage::Refused(reason) => ConnectionError::Refused { reason },
        _ => ConnectionError::Malformed { detail: "message out of order in the handshake".into() },
    }
}
