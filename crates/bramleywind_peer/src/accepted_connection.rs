//! A connection that a peer dialed and this process accepted.

use std::{
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_ledger::{AppendOutcome, SealOutcome};
use bramleywind_types::InstanceId;
use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::{
    FutureExt as _, StreamExt as _, future, future::Either, stream::FuturesUnordered,
};
use h2::server::SendResponse;
use slog::{Logger, info, warn};
use snafu::ResultExt as _;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::{
    ConnectionError, PeerHandler,
    connection_error::{ConnectSnafu, TransportSnafu},
    dialed_connection::WINDOW_BYTES,
    mesh_shared::MeshShared,
    message_bucket::MessageBucket,
    outbound_queue::{OutboundSender, outbound_queue},
    wire::{
        AcceptorMessage, DialerMessage, FrameReader, FrameWriter, HandshakeTranscript, Nonce,
        PROTOCOL_VERSION, PeerIdentity, PeerReply, PeerRequest, ProofSide, RefusalReason,
        ReplyEnvelope, RequestEnvelope, decode_message, encode_frame,
    },
};

/// Limit on the requests of one connection that are handled at a time. Further ones are not read until one
/// ends.
const MAX_RUNNING_REQUESTS: usize = 128;

/// Limit on the time for handling a request.
const MAX_HANDLING_TIME: Duration = Duration::from_secs(10);

/// How long a connection stays open for a refusal to reach the peer.
const REFUSAL_DELIVERY_TIME: Duration = Duration::from_millis(200);

/// Answers the requests of one connection until it ends.
pub(crate) async fn serve_accepted<H: PeerHandler>(
    shared: Rc<MeshShared>,
    handler: Rc<H>,
    tcp: TcpStream,
    log: Logger,
) {
    let mut connection =
        AcceptedConnection { shared: &shared, handler: &handler, log: &log, peer: None };
    let error = match connection.serve(tcp).await {
        Ok(never) => match never {},
        Err(error) => error,
    };
    let instance = connection.peer.as_ref().map(|peer| &peer.instance);
    shared.count_connection_end(instance, &error);
    match instance {
        Some(instance) => {
            info!(log, "peer disconnected"; "peer" => %instance, "error" => %error);
        }
        None => warn!(log, "refused a peer connection"; "error" => %error),
    }
}

struct AcceptedConnection<'a, H> {
    shared: &'a Rc<MeshShared>,
    handler: &'a Rc<H>,
    log: &'a Logger,
    /// The peer, once it is authenticated.
    peer: Option<PeerIdentity>,
}

impl<H: PeerHandler> AcceptedConnection<'_, H> {
    async fn serve(&mut self, tcp: TcpStream) -> Result<Infallible, ConnectionError> {
        let timeout = self.shared.settings.timing.handshake_timeout;
        tcp.set_nodelay(true).context(ConnectSnafu)?;
        let io = HyperStream::new_plain(tcp).compat();
        let accept = async {
            let mut connection = h2::server::Builder::new()
                .initial_window_size(WINDOW_BYTES)
                .initial_connection_window_size(WINDOW_BYTES)
                .max_concurrent_streams(1)
                .handshake::<_, Bytes>(io)
                .await?;
            let stream = connection.accept().await;
            Ok::<_, h2::Error>((connection, stream))
        };
        let (mut connection, stream) = compio::time::timeout(timeout, accept)
            .await
            .map_err(|_| ConnectionError::Silent)?
            .context(TransportSnafu)?;
        let (request, respond) = stream.ok_or(ConnectionError::Closed)?.context(TransportSnafu)?;

        let drive = async move {
            loop {
                match connection.accept().await {
                    None => return ConnectionError::Closed,
                    Some(Err(source)) => return ConnectionError::Transport { source },
                    Some(Ok((_, mut second))) => second.send_reset(h2::Reason::REFUSED_STREAM),
                }
            }
        };
        let exchange = self.exchange_messages(request.into_body(), respond);
        match future::select(Box::pin(drive), Box::pin(exchange)).await {
            Either::Left((error, _)) => Err(error),
            Either::Right((ended, drive)) => {
                // Lets a refusal be sent. The peer closes the connection once it has read it.
                let _ = compio::time::timeout(REFUSAL_DELIVERY_TIME, drive).await;
                ended
            }
        }
    }

    async fn exchange_messages(
        &mut self,
        body: h2::RecvStream,
        mut respond: SendResponse<Bytes>,
    ) -> Result<Infallible, ConnectionError> {
        let timeout = self.shared.settings.timing.handshake_timeout;
        let stream =
            respond.send_response(http::Response::new(()), false).context(TransportSnafu)?;
        let mut writer = FrameWriter::new(stream);
        let mut reader = FrameReader::new(body);
        let handshake = self.perform_handshake(&mut reader, &mut writer);
        let peer = compio::time::timeout(timeout, handshake)
            .await
            .map_err(|_| ConnectionError::Silent)??;
        reader.allow_large_frames();
        let instance = peer.instance.clone();
        self.peer = Some(peer.clone());
        info!(self.log, "peer accepted"; "peer" => %instance, "run" => %peer.run);

        let (connection, replaced) = self.shared.add_accepted(&instance);
        let (outbound, queue) = outbound_queue();
        let write = self.shared.write_frames(&instance, queue, writer, None);
        let read = self.answer_requests(&peer, reader, outbound);
        let replaced = replaced.map(|_| ConnectionError::Replaced);
        let ended =
            future::select_all([write.boxed_local(), read.boxed_local(), replaced.boxed_local()]);
        let error = ended.await.0;
        self.shared.remove_accepted(&instance, connection);
        Err(error)
    }

    async fn perform_handshake(
        &self,
        reader: &mut FrameReader,
        writer: &mut FrameWriter,
    ) -> Result<PeerIdentity, ConnectionError> {
        let hello = decode_message(&reader.next().await?)?;
        let DialerMessage::Hello { version, identity: peer, nonce: dialer_nonce } = hello else {
            return Err(out_of_order_error());
        };
        if version != PROTOCOL_VERSION {
            self.refuse(writer, RefusalReason::Version(PROTOCOL_VERSION)).await?;
            return Err(ConnectionError::Version { version });
        }
        let instance = &peer.instance;
        if self.shared.is_cut_from(instance) || self.shared.is_cut_to(instance) {
            // Acts as if the messages were lost; the handshake timeout ends the connection.
            future::pending::<()>().await;
        }
        let acceptor_nonce: Nonce = rand::random();
        let own = self.shared.identity();
        let transcript = HandshakeTranscript {
            version,
            dialer: peer.clone(),
            acceptor: own.clone(),
            dialer_nonce,
            acceptor_nonce,
        };
        let secret = &self.shared.settings.secret;
        let proof = transcript.prove(secret, ProofSide::Acceptor);
        let challenge = AcceptorMessage::Challenge { identity: own, nonce: acceptor_nonce, proof };
        writer.send(encode_frame(&challenge)?).await?;
        let DialerMessage::Proof(proof) = decode_message(&reader.next().await?)? else {
            return Err(out_of_order_error());
        };
        if !transcript.verify(secret, ProofSide::Dialer, &proof) {
            self.refuse(writer, RefusalReason::Secret).await?;
            return Err(ConnectionError::Secret { instance: peer.instance });
        }
        let is_admitted = self.shared.state.borrow_mut().membership.admit_run(instance, peer.run);
        if !is_admitted {
            self.refuse(writer, RefusalReason::RetiredRun).await?;
            return Err(ConnectionError::Refused { reason: RefusalReason::RetiredRun });
        }
        writer.send(encode_frame(&AcceptorMessage::Welcome)?).await?;
        Ok(peer)
    }

    async fn refuse(
        &self,
        writer: &mut FrameWriter,
        reason: RefusalReason,
    ) -> Result<(), ConnectionError> {
        writer.send(encode_frame(&AcceptorMessage::Refused(reason))?).await?;
        writer.finish()
    }

    async fn answer_requests(
        &self,
        peer: &PeerIdentity,
        mut reader: FrameReader,
        outbound: OutboundSender,
    ) -> ConnectionError {
        let dead_after = self.shared.settings.timing.dead_after;
        let mut bucket = MessageBucket::incoming(Instant::now());
        let mut deadline = Instant::now() + dead_after;
        let mut running = FuturesUnordered::new();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let has_capacity = running.len() < MAX_RUNNING_REQUESTS;
            let mut read = Box::pin(compio::time::timeout(remaining, reader.next()).fuse());
            let message = futures_util::select_biased! {
                reply = running.select_next_some() => {
                    if !push_reply(&outbound, reply) {
                        return ConnectionError::Stalled;
                    }
                    if !has_capacity {
                        // The peer was not silent: its messages were not read.
                        deadline = Instant::now() + dead_after;
                    }
                    continue;
                }
                message = if has_capacity { read.as_mut().left_future() } else {
                    future::pending().right_future()
                } => message,
            };
            drop(read);
            let message = match message {
                Err(_) => return ConnectionError::Silent,
                Ok(Err(error)) => return error,
                Ok(Ok(message)) => message,
            };
            if self.shared.is_cut_from(&peer.instance) {
                continue;
            }
            self.shared.count_received(&peer.instance, &message);
            if bucket.take(Instant::now()).is_err() {
                return ConnectionError::Flood;
            }
            let envelope = match decode_message(&message) {
                Err(error) => return error,
                Ok(DialerMessage::Request(envelope)) => envelope,
                Ok(_) => return out_of_order_error(),
            };
            if let Err(error) = self.check_request(peer, &envelope.request) {
                return error;
            }
            running.push(self.answer(&peer.instance, envelope));
            deadline = Instant::now() + dead_after;
        }
    }

    /// Rejects a heartbeat that a peer sends in the name of another router.
    fn check_request(
        &self,
        peer: &PeerIdentity,
        request: &PeerRequest,
    ) -> Result<(), ConnectionError> {
        match request {
            PeerRequest::Heartbeat { heartbeat, .. }
                if heartbeat.instance != peer.instance || heartbeat.run != peer.run =>
            {
                let detail = "heartbeat in the name of another router".into();
                Err(ConnectionError::Malformed { detail })
            }
            _ => Ok(()),
        }
    }

    /// Handles one request. Returns `None` if that took longer than the peer waits.
    async fn answer(&self, from: &InstanceId, envelope: RequestEnvelope) -> Option<ReplyEnvelope> {
        let RequestEnvelope { correlation, timeout_ms, request } = envelope;
        let timeout = Duration::from_millis(timeout_ms.into()).min(MAX_HANDLING_TIME);
        let reply = compio::time::timeout(timeout, self.handle(from, request)).await.ok()?;
        Some(ReplyEnvelope { correlation, reply })
    }

    async fn handle(&self, from: &InstanceId, request: PeerRequest) -> PeerReply {
        let own_run = self.shared.settings.run;
        let handler = self.handler;
        match request {
            PeerRequest::Heartbeat { heartbeat, known } => {
                self.shared.request_dial(heartbeat.peer_address);
                for address in known.into_iter().flatten() {
                    self.shared.request_dial(address);
                }
                self.shared
                    .state
                    .borrow_mut()
                    .membership
                    .record_heartbeat(heartbeat, Instant::now());
                PeerReply::Noted
            }
            PeerRequest::ConfigFetch => PeerReply::Config(handler.config_document().await),
            PeerRequest::JournalAppend { run, .. } | PeerRequest::JournalSnapshot { run, .. }
                if run != own_run =>
            {
                PeerReply::Append(AppendOutcome::WrongRun)
            }
            PeerRequest::JournalAppend { batch, .. } => {
                PeerReply::Append(handler.journal_append(from, batch).await)
            }
            PeerRequest::JournalSnapshot { snapshot, .. } => {
                PeerReply::Append(handler.journal_snapshot(from, snapshot).await)
            }
            PeerRequest::Seal { run, .. } if run != own_run => {
                PeerReply::Seal(SealOutcome::WrongRun)
            }
            PeerRequest::Seal { incarnation, .. } => {
                PeerReply::Seal(handler.seal(from, incarnation).await)
            }
            PeerRequest::Borrow(request) => PeerReply::Loan(handler.borrow(from, request).await),
            PeerRequest::LoanSettle(settlement) => {
                PeerReply::Settlement(handler.settle_loan(from, settlement).await)
            }
            PeerRequest::KeyClaim(request) => {
                PeerReply::KeyClaim(handler.key_claim(from, request).await)
            }
            PeerRequest::KeyFinish(request) => {
                PeerReply::KeyFinish(handler.key_finish(from, request).await)
            }
            PeerRequest::ClaimQuery(query) => {
                PeerReply::Claim(handler.claim_query(from, query).await)
            }
            PeerRequest::Strike(report) => {
                handler.crash_report(from, report).await;
                PeerReply::Noted
            }
        }
    }
}

/// Queues a reply if the peer waits for it. Returns false if the peer does not read its replies.
fn push_reply(outbound: &OutboundSender, reply: Option<ReplyEnvelope>) -> bool {
    let Some(envelope) = reply.filter(|envelope| envelope.correlation != 0) else { return true };
    // A reply that exceeds the frame limit is not sent, and the peer's request times out.
    encode_frame(&AcceptorMessage::Reply(envelope)).map_or(true, |frame| outbound.push(frame))
}

fn out_of_order_error() -> ConnectionError {
    ConnectionError::Malformed { detail: "message out of order".into() }
}
