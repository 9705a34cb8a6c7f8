//! Routers in one process, and a raw peer that can violate the protocol.

#![allow(dead_code, reason = "each test file uses only some of the support code")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::{
    ClaimQuery, ClaimStatus, CrashReport, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome,
    KeyFinishRequest,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement,
    SealOutcome, SettlementOutcome, WitnessId,
};
use bramleywind_peer::{
    ConnectionError, FleetSecret, MembershipView, MeshSettings, MeshTiming, PeerClient,
    PeerHandler, PeerMesh, PeerState, RouterStatus,
    wire::{
        AcceptorMessage, ConfigCopy, DialerMessage, FrameReader, FrameWriter, HandshakeTranscript,
        PROTOCOL_VERSION, PeerIdentity, ProofSide, decode_message, encode_frame,
    },
};
use bramleywind_types::{ConfigRevision, IncarnationId, InstanceId, JournalSequence};
use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use cyper_core::HyperStream;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

/// Upper bound for each wait of a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Shorter timings than in production, so that tests of silent peers are quick.
pub const TIMING: MeshTiming = MeshTiming {
    heartbeat_interval: Duration::from_millis(50),
    suspect_after: Duration::from_millis(200),
    dead_after: Duration::from_millis(400),
    handshake_timeout: Duration::from_millis(400),
    max_reconnect_delay: Duration::from_millis(100),
};

/// Timings under which no silence of a peer ends its connection within a test.
pub const PATIENT_TIMING: MeshTiming =
    MeshTiming { suspect_after: TEST_TIMEOUT, dead_after: TEST_TIMEOUT, ..TIMING };

pub fn instance(number: u64) -> InstanceId {
    format!("akl-{number}").parse().unwrap()
}

pub fn identity(number: u64, run: u64) -> PeerIdentity {
    PeerIdentity { instance: instance(number), run: IncarnationId::from_number(run) }
}

pub fn secret() -> FleetSecret {
    FleetSecret::new(vec![7; 32]).unwrap()
}

pub fn batch(incarnation: u64, first: u64) -> JournalBatch {
    JournalBatch {
        incarnation: IncarnationId::from_number(incarnation),
        first: JournalSequence(first),
        entries: Vec::new(),
    }
}

/// Waits until a condition holds. Panics after [`TEST_TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Waits for a future. Panics after [`TEST_TIMEOUT`].
pub async fn with_timeout<T>(what: &str, future: impl Future<Output = T>) -> T {
    match compio::time::timeout(TEST_TIMEOUT, future).await {
        Ok(output) => output,
        Err(_) => panic!("timed out waiting for {what}"),
    }
}

/// Handler that answers each kind of request with a distinct reply.
pub struct TestHandler {
    pub run: u64,
    pub leaving: Cell<bool>,
    pub is_blocked: Cell<bool>,
    pub appended: RefCell<Vec<(InstanceId, JournalSequence)>>,
    pub crash_reports: RefCell<Vec<CrashReport>>,
}

impl PeerHandler for TestHandler {
    fn status(&self) -> RouterStatus {
        RouterStatus {
            incarnation: IncarnationId::from_number(self.run),
            caller_address: "127.0.0.1:1".parse().unwrap(),
            weight: 100,
            leaving: self.leaving.get(),
            revision: Some(ConfigRevision(3)),
        }
    }

    async fn config_document(&self) -> Option<ConfigCopy> {
        Some(ConfigCopy { revision: ConfigRevision(3), document: vec![b'x'; 900_000] })
    }

    async fn journal_append(&self, from: &InstanceId, batch: JournalBatch) -> AppendOutcome {
        self.appended.borrow_mut().push((from.clone(), batch.first));
        if self.is_blocked.get() {
            std::future::pending::<()>().await;
        }
        AppendOutcome::Accepted
    }

    async fn journal_snapshot(&self, _: &InstanceId, snapshot: JournalSnapshot) -> AppendOutcome {
        AppendOutcome::Gap { expected: snapshot.next }
    }

    async fn seal(&self, _: &InstanceId, incarnation: IncarnationId) -> SealOutcome {
        let budgets = Default::default();
        SealOutcome::Sealed(JournalSnapshot { incarnation, next: JournalSequence(9), budgets })
    }

    async fn borrow(&self, _: &InstanceId, _: LoanRequest) -> LoanOutcome {
        LoanOutcome::Nothing
    }

    async fn settle_loan(&self, _: &InstanceId, _: LoanSettlement) -> SettlementOutcome {
        SettlementOutcome::Settled
    }

    async fn key_claim(&self, _: &InstanceId, request: KeyClaimRequest) -> KeyClaimOutcome {
        KeyClaimOutcome::Running { holder: request.holder, attempt: request.attempt }
    }

    async fn key_finish(&self, _: &InstanceId, _: KeyFinishRequest) -> KeyFinishOutcome {
        KeyFinishOutcome::Recorded
    }

    async fn claim_query(&self, _: &InstanceId, _: ClaimQuery) -> ClaimStatus {
        ClaimStatus::NeverSent
    }

    async fn crash_report(&self, _: &InstanceId, report: CrashReport) {
        self.crash_reports.borrow_mut().push(report);
    }
}

/// A router; dropping it acts like killing its process.
pub struct TestRouter {
    pub client: PeerClient,
    pub handler: Rc<TestHandler>,
    pub address: SocketAddr,
    pub witness: WitnessId,
    _running: JoinHandle<()>,
}

impl TestRouter {
    pub async fn start(number: u64, seeds: &[SocketAddr]) -> Self {
        Self::start_run(number, number, "127.0.0.1:0".parse().unwrap(), seeds).await
    }

    pub async fn start_with_timing(number: u64, seeds: &[SocketAddr], timing: MeshTiming) -> Self {
        let any_port = "127.0.0.1:0".parse().unwrap();
        Self::start_with(number, number, any_port, None, seeds, timing).await
    }

    pub async fn start_run(
        number: u64,
        run: u64,
        listen: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        Self::start_at(number, run, listen, None, seeds).await
    }

    /// Starts a router that advertises another address than the one that it listens on.
    pub async fn start_at(
        number: u64,
        run: u64,
        listen: SocketAddr,
        advertise: Option<&str>,
        seeds: &[SocketAddr],
    ) -> Self {
        Self::start_with(number, run, listen, advertise, seeds, TIMING).await
    }

    async fn start_with(
        number: u64,
        run: u64,
        listen: SocketAddr,
        advertise: Option<&str>,
        seeds: &[SocketAddr],
        timing: MeshTiming,
    ) -> Self {
        let settings = MeshSettings {
            instance: instance(number),
            run: IncarnationId::from_number(run),
            data_centre: "nz-north".parse().unwrap(),
            listen,
            advertise: advertise.map(|address| address.parse().unwrap()),
            seeds: seeds.into(),
            secret: secret(),
            timing,
        };
        let mesh = PeerMesh::bind(settings).await.unwrap();
        let handler = Rc::new(TestHandler {
            run,
            leaving: Cell::default(),
            is_blocked: Cell::default(),
            appended: RefCell::default(),
            crash_reports: RefCell::default(),
        });
        let (client, address) = (mesh.client(), mesh.peer_address());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let running = compio::runtime::spawn(mesh.run(Rc::clone(&handler), log));
        let witness =
            WitnessId { instance: instance(number), run: IncarnationId::from_number(run) };
        Self { client, handler, address, witness, _running: running }
    }

    pub fn view(&self) -> MembershipView {
        self.client.view()
    }

    pub fn state_of(&self, number: u64) -> Option<PeerState> {
        self.view().peers.get(&instance(number)).map(|record| record.state)
    }

    /// Returns whether a peer is alive and requests can be sent to it.
    pub fn is_joined(&self, number: u64) -> bool {
        let view = self.view();
        let record = view.peers.get(&instance(number));
        record.is_some_and(|record| record.state == PeerState::Live && record.connected)
    }

    pub fn violations_of(&self, number: u64) -> u64 {
        self.client.traffic(&instance(number)).violations
    }
}

/// Waits until two routers see each other as alive and connected.
pub async fn wait_until_joined(left: (&TestRouter, u64), right: (&TestRouter, u64)) {
    wait_until("the routers are joined", || left.0.is_joined(right.1) && right.0.is_joined(left.1))
        .await;
}

/// One end of a connection that sends only the messages that a test passes to it.
pub struct RawPeer {
    pub reader: FrameReader,
    pub writer: FrameWriter,
    _driver: JoinHandle<()>,
}

impl RawPeer {
    /// Connects without the handshake.
    pub async fn dial(address: SocketAddr) -> Self {
        let tcp = TcpStream::connect(address).await.unwrap();
        let io = HyperStream::new_plain(tcp).compat();
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(1024 * 1024)
            .handshake::<_, Bytes>(io)
            .await
            .unwrap();
        let driver = compio::runtime::spawn(async move {
            let _ = connection.await;
        });
        let mut sender = sender.ready().await.unwrap();
        let request = http::Request::post("/peer").body(()).unwrap();
        let (response, stream) = sender.send_request(request, false).unwrap();
        let body = response.await.unwrap().into_body();
        let mut reader = FrameReader::new(body);
        reader.allow_large_frames();
        Self { reader, writer: FrameWriter::new(stream), _driver: driver }
    }

    /// Accepts one connection without the handshake.
    pub async fn accept(listener: &compio::net::TcpListener) -> Self {
        let (tcp, _) = listener.accept().await.unwrap();
        let io = HyperStream::new_plain(tcp).compat();
        let mut connection = h2::server::Builder::new().handshake::<_, Bytes>(io).await.unwrap();
        let (request, mut respond) = connection.accept().await.unwrap().unwrap();
        let stream = respond.send_response(http::Response::new(()), false).unwrap();
        let driver =
            compio::runtime::spawn(async move { while connection.accept().await.is_some() {} });
        let body = request.into_body();
        let mut reader = FrameReader::new(body);
        reader.allow_large_frames();
        Self { reader, writer: FrameWriter::new(stream), _driver: driver }
    }

    pub async fn send(&mut self, message: &DialerMessage) -> Result<(), ConnectionError> {
        self.writer.send(encode_frame(message)?).await
    }

    pub async fn receive(&mut self) -> Result<AcceptorMessage, ConnectionError> {
        decode_message(&with_timeout("a message", self.reader.next()).await?)
    }

    /// Performs the handshake as the dialer. Returns the acceptor's last message, which shows the outcome.
    pub async fn handshake_as_dialer(
        &mut self,
        identity: PeerIdentity,
        version: u32,
        secret: &FleetSecret,
    ) -> Result<AcceptorMessage, ConnectionError> {
        let dialer_nonce = [1; 32];
        let hello =
            DialerMessage::Hello { version, identity: identity.clone(), nonce: dialer_nonce };
        self.send(&hello).await?;
        let challenge = self.receive().await?;
        let AcceptorMessage::Challenge { identity: acceptor, nonce: acceptor_nonce, .. } =
            challenge
        else {
            return Ok(challenge);
        };
        let transcript = HandshakeTranscript {
            version,
            dialer: identity,
            acceptor,
            dialer_nonce,
            acceptor_nonce,
        };
        let proof = transcript.prove(secret, ProofSide::Dialer);
        self.send(&DialerMessage::Proof(proof)).await?;
        self.receive().await
    }

    /// Performs the handshake as the acceptor.
    pub async fn handshake_as_acceptor(&mut self, identity: PeerIdentity) {
        let hello = decode_message(&self.reader.next().await.unwrap()).unwrap();
        let DialerMessage::Hello { identity: dialer, nonce: dialer_nonce, .. } = hello else {
            panic!("the first message is not a hello");
        };
        let transcript = HandshakeTranscript {
            version: PROTOCOL_VERSION,
            dialer,
            acceptor: identity.clone(),
            dialer_nonce,
            acceptor_nonce: [2; 32],
        };
        let proof = transcript.prove(&secret(), ProofSide::Acceptor);
        let challenge = AcceptorMessage::Challenge { identity, nonce: [2; 32], proof };
        self.writer.send(encode_frame(&challenge).unwrap()).await.unwrap();
        self.reader.next().await.unwrap();
        let welcome = encode_frame(&AcceptorMessage::Welcome).unwrap();
        self.writer.send(welcome).await.unwrap();
    }

    /// Waits until the other end has closed the connection.
    pub async fn wait_until_closed(&mut self) {
        with_timeout("the end of the connection", async {
            while self.reader.next().await.is_ok() {}
        })
        .await;
    }
}
