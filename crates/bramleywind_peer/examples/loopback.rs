//! Measures the connections of a full mesh on loopback: the traffic per peer when idle, and the round-trip time
//! of a journal append. Each router has a thread and a runtime of its own.
//!
//! `cargo run --release -p bramleywind_peer --example loopback`

#![allow(clippy::print_stdout, reason = "the program's output is its result")]
#![allow(clippy::unwrap_used, reason = "a measurement that fails has no result")]

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use bramleywind_claims::{
    ClaimQuery, ClaimStatus, CrashReport, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome,
    KeyFinishRequest,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalEntry, JournalLink as _, JournalSnapshot, LoanOutcome,
    LoanRequest, LoanSettlement, SealOutcome, SettlementOutcome, WitnessId,
};
use bramleywind_peer::{
    FleetSecret, MeshSettings, MeshTiming, PeerClient, PeerHandler, PeerMesh, RouterStatus,
    wire::ConfigCopy,
};
use bramleywind_types::{ConfigRevision, IncarnationId, InstanceId, JournalSequence, TokenCount};
use hdrhistogram::Histogram;

/// The number of routers in a present deployment.
const ROUTER_COUNT: usize = 6;
const IDLE_TIME: Duration = Duration::from_secs(10);
const APPEND_COUNT: u64 = 3_000;

/// Time between two appends. It keeps the rate below the rate limit of a connection, so that rate limiting is
/// not measured.
const APPEND_INTERVAL: Duration = Duration::from_millis(2);
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Handler that answers every request at once.
struct EchoHandler;

impl PeerHandler for EchoHandler {
    fn status(&self) -> RouterStatus {
        RouterStatus {
            incarnation: IncarnationId::from_number(1),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 8080)),
            weight: 100,
            leaving: false,
            revision: Some(ConfigRevision(17)),
        }
    }

    async fn config_document(&self) -> Option<ConfigCopy> {
        None
    }

    async fn journal_append(&self, _: &InstanceId, _: JournalBatch) -> AppendOutcome {
        AppendOutcome::Accepted
    }

    async fn journal_snapshot(&self, _: &InstanceId, _: JournalSnapshot) -> AppendOutcome {
        AppendOutcome::Accepted
    }

    async fn seal(&self, _: &InstanceId, _: IncarnationId) -> SealOutcome {
        SealOutcome::Unreachable
    }

    async fn borrow(&self, _: &InstanceId, _: LoanRequest) -> LoanOutcome {
        LoanOutcome::Nothing
    }

    async fn settle_loan(&self, _: &InstanceId, _: LoanSettlement) -> SettlementOutcome {
        SettlementOutcome::Unknown
    }

    async fn key_claim(&self, _: &InstanceId, _: KeyClaimRequest) -> KeyClaimOutcome {
        KeyClaimOutcome::Started { replaces_dead: false }
    }

    async fn key_finish(&self, _: &InstanceId, _: KeyFinishRequest) -> KeyFinishOutcome {
        KeyFinishOutcome::Ignored
    }

    async fn claim_query(&self, _: &InstanceId, _: ClaimQuery) -> ClaimStatus {
        ClaimStatus::Unknown
    }

    async fn crash_report(&self, _: &InstanceId, _: CrashReport) {}
}

fn instance(number: usize) -> InstanceId {
    format!("akl-a-{number}").parse().unwrap()
}

async fn bind(number: usize, seeds: Vec<SocketAddr>) -> PeerMesh {
    let settings = MeshSettings {
        instance: instance(number),
        run: IncarnationId::from_number(number as u64),
        data_centre: "akl-a".parse().unwrap(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertise: None,
        seeds,
        secret: FleetSecret::new(vec![7; 32]).unwrap(),
        timing: MeshTiming::default(),
    };
    PeerMesh::bind(settings).await.unwrap()
}

fn spawn(mesh: PeerMesh) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    compio::runtime::spawn(mesh.run(Rc::new(EchoHandler), log)).detach();
}

/// Starts a router on its own thread, which runs until the program ends.
fn spawn_router_thread(number: usize, seeds: Vec<SocketAddr>) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async {
            let mesh = bind(number, seeds).await;
            sender.send(mesh.peer_address()).unwrap();
            spawn(mesh);
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

async fn wait_until_joined(client: &PeerClient) {
    let mut changes = client.changes();
    let joined = async {
        let is_complete =
            || client.view().live().filter(|peer| peer.connected).count() == ROUTER_COUNT - 1;
        while !is_complete() {
            changes.changed().await;
        }
    };
    compio::time::timeout(JOIN_TIMEOUT, joined)
        .await
        .expect("the routers did not discover each other in time");
}

async fn measure_idle(client: &PeerClient) {
    // In the first seconds the routers also exchange the addresses of their peers.
    compio::time::sleep(Duration::from_secs(3)).await;
    let before = client.view();
    let started = Instant::now();
    compio::time::sleep(IDLE_TIME).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = client.view();
    let (mut bytes, mut messages) = (0, 0);
    for (instance, record) in &after.peers {
        let (old, new) = (&before.peers[instance].traffic, &record.traffic);
        bytes += new.bytes_in + new.bytes_out - old.bytes_in - old.bytes_out;
        messages += new.messages_in + new.messages_out - old.messages_in - old.messages_out;
    }
    let per_peer = |count: u64| count as f64 / seconds / (ROUTER_COUNT - 1) as f64;
    println!(
        "idle, {ROUTER_COUNT} routers, {seconds:.1} s: {:.1} B/s and {:.2} messages/s per peer, both ways, \
         without the 9 B that h2 adds to each message",
        per_peer(bytes),
        per_peer(messages),
    );
}

async fn measure_appends(client: &PeerClient) {
    let witness = WitnessId { instance: instance(1), run: IncarnationId::from_number(1) };
    let mut micros = Histogram::<u64>::new(3).unwrap();
    for sequence in 0..APPEND_COUNT {
        let entries = vec![JournalEntry::Reserve {
            budget: "spring-season".parse().unwrap(),
            tokens: TokenCount(1_200),
            key: None,
        }];
        let first = JournalSequence(sequence);
        let batch = JournalBatch { incarnation: IncarnationId::from_number(0), first, entries };
        let started = Instant::now();
        assert_eq!(client.append(&witness, &batch).await, AppendOutcome::Accepted);
        micros.record(started.elapsed().as_micros() as u64).unwrap();
        compio::time::sleep(APPEND_INTERVAL).await;
    }
    println!(
        "append, {APPEND_COUNT} times: median {} us, p99 {} us, largest {} us",
        micros.value_at_quantile(0.5),
        micros.value_at_quantile(0.99),
        micros.max(),
    );
}

#[compio::main]
async fn main() {
    let seed = spawn_router_thread(1, Vec::new());
    for number in 2..ROUTER_COUNT {
        spawn_router_thread(number, vec![seed]);
    }
    let mesh = bind(0, vec![seed]).await;
    let client = mesh.client();
    spawn(mesh);
    wait_until_joined(&client).await;
    measure_idle(&client).await;
    measure_appends(&client).await;
}
