//! Routers that discover each other, exchange requests, fail and restart.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{net::SocketAddr, time::Duration};

use bramleywind_claims::{
    ClaimHolder, ClaimId, ClaimLink as _, ClaimQuery, ClaimSequence, ClaimStatus, CrashReport,
    CrashReportId, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome, KeyFinishRequest,
    RequestFingerprint,
};
use bramleywind_ledger::{
    AppendOutcome, JournalLink as _, JournalSnapshot, LoanId, LoanOutcome, LoanRequest,
    LoanSettlement, SealOutcome, SettlementOutcome, WitnessId,
};
use bramleywind_peer::{
    ConfigFetchOutcome, LinkFault, PeerState,
    wire::{PeerReply, PeerRequest},
};
use bramleywind_types::{
    BodyHash, ConfigRevision, IncarnationId, JournalSequence, RequestId, RequestKey, TokenCount,
};
use support::{
    PATIENT_TIMING, TEST_TIMEOUT, TestRouter, batch, instance, wait_until, wait_until_joined,
    with_timeout,
};
use test_case::test_case;

/// Guards against a router that no other router's settings name staying unknown, and against a router dialing
/// itself.
#[compio::test]
async fn routers_discover_each_other() {
    let first = TestRouter::start(1, &[]).await;
    let second = TestRouter::start(2, &[first.address]).await;
    let third = TestRouter::start(3, &[first.address, "127.0.0.1:9".parse().unwrap()]).await;
    wait_until_joined((&first, 1), (&second, 2)).await;
    wait_until_joined((&first, 1), (&third, 3)).await;
    wait_until_joined((&second, 2), (&third, 3)).await;
    for router in [&first, &second, &third] {
        assert_eq!(router.view().peers.len(), 2);
    }
    let mut changes = first.client.changes();
    let generation = with_timeout("the first generation", changes.changed()).await;
    second.handler.leaving.set(true);
    let leaving = || first.view().peers[&instance(2)].heartbeat.status.leaving;
    wait_until("the peer is seen as leaving", leaving).await;
    assert!(with_timeout("the change", changes.changed()).await > generation);
    let json = serde_json::to_value(first.view()).unwrap();
    assert_eq!(json["peers"]["akl-2"]["state"], "live");
}

/// Guards against the connections to two addresses of one peer replacing each other endlessly.
#[compio::test]
async fn peer_with_two_addresses_has_one_connection() {
    let any_address = "0.0.0.0:0".parse().unwrap();
    let first = TestRouter::start_at(1, 1, any_address, Some("127.0.0.1:0"), &[]).await;
    let alternative_address =
        |address: SocketAddr| SocketAddr::from(([127, 0, 0, 2], address.port()));
    let seeds = [alternative_address(first.address), first.address];
    let second = TestRouter::start_at(2, 2, any_address, Some("127.0.0.1:0"), &seeds).await;
    let third = TestRouter::start(3, &[alternative_address(second.address), second.address]).await;
    wait_until_joined((&first, 1), (&second, 2)).await;
    wait_until_joined((&second, 2), (&third, 3)).await;
    let appended = || first.handler.appended.borrow().len();
    wait_until("requests go through for a while", || {
        let (client, witness) = (second.client.clone(), first.witness.clone());
        let append = async move { client.append(&witness, &batch(1, 1)).await };
        compio::runtime::spawn(append).detach();
        appended() >= 100
    })
    .await;
    assert!(second.is_joined(1) && first.is_joined(2));
    assert_eq!(first.violations_of(2), 0);
}

/// Guards against a request that reaches the wrong handler method, and a reply that reaches the wrong request.
#[compio::test]
async fn each_request_gets_its_own_reply() {
    let local = TestRouter::start(1, &[]).await;
    let remote = TestRouter::start(2, &[local.address]).await;
    wait_until_joined((&local, 1), (&remote, 2)).await;
    let (client, peer, witness) = (&local.client, instance(2), &remote.witness);
    let other_run = WitnessId { run: IncarnationId::from_number(99), ..witness.clone() };
    let incarnation = IncarnationId::from_number(1);
    let snapshot =
        JournalSnapshot { incarnation, next: JournalSequence(4), budgets: Default::default() };
    let key = RequestKey { workspace: "ferries".parse().unwrap(), key: "k".parse().unwrap() };

    assert_eq!(client.append(witness, &batch(1, 1)).await, AppendOutcome::Accepted);
    assert_eq!(*remote.handler.appended.borrow(), [(instance(1), JournalSequence(1))]);
    assert_eq!(client.append(&other_run, &batch(1, 2)).await, AppendOutcome::WrongRun);
    let gap = AppendOutcome::Gap { expected: JournalSequence(4) };
    assert_eq!(client.snapshot(witness, &snapshot).await, gap);
    assert_eq!(client.snapshot(&other_run, &snapshot).await, AppendOutcome::WrongRun);
    let sealed = SealOutcome::Sealed(JournalSnapshot { next: JournalSequence(9), ..snapshot });
    assert_eq!(client.seal(witness, incarnation).await, sealed);
    assert_eq!(client.seal(&other_run, incarnation).await, SealOutcome::WrongRun);
    let loan = LoanRequest {
        budget: "spring".parse().unwrap(),
        tokens: TokenCount(5),
        borrower: incarnation,
        number: 1,
        key: Some(key.clone()),
    };
    assert_eq!(client.borrow(&peer, &loan).await, LoanOutcome::Nothing);
    let settlement = LoanSettlement {
        loan: LoanId { incarnation, reservation: JournalSequence(1) },
        billed: TokenCount(3),
    };
    assert_eq!(client.settle_loan(&peer, &settlement).await, SettlementOutcome::Settled);
    let ConfigFetchOutcome::Found(copy) = client.fetch_config(&peer).await else {
        panic!("no configuration");
    };
    assert_eq!((copy.revision, copy.document.len()), (ConfigRevision(3), 900_000));
    let attempt = RequestId::random();
    let claim = KeyClaimRequest {
        key: key.clone(),
        body_hash: BodyHash::of(&[b"{}"]),
        holder: instance(1),
        attempt,
    };
    let running = KeyClaimOutcome::Running { holder: instance(1), attempt };
    assert_eq!(client.claim_key(&peer, claim).await, running);
    let finish = KeyFinishRequest { key: key.clone(), attempt, outcome: None };
    assert_eq!(client.finish_key(&peer, finish).await, KeyFinishOutcome::Recorded);
    let query = ClaimQuery { key, claim: ClaimId { run: witness.run, sequence: ClaimSequence(1) } };
    let holder = ClaimHolder { instance: peer.clone(), run: witness.run };
    assert_eq!(client.query(&holder, &query).await, ClaimStatus::NeverSent);
    let unconnected_holder = ClaimHolder { instance: instance(7), run: witness.run };
    assert_eq!(client.query(&unconnected_holder, &query).await, ClaimStatus::Unknown);
    let report = CrashReport::Strike {
        id: CrashReportId(1),
        fingerprint: RequestFingerprint {
            workspace: "ferries".parse().unwrap(),
            body_hash: BodyHash::of(&[b"{}"]),
        },
        endpoint: "engine-1".parse().unwrap(),
    };
    assert_eq!(client.share_crash_report(&report), 1);
    wait_until("the crash report arrives", || {
        *remote.handler.crash_reports.borrow() == [report.clone()]
    })
    .await;
}

/// Guards against a burst of legitimate requests being treated as a flood, and against replies that are mixed
/// up.
#[compio::test]
async fn burst_is_paced_and_kept_in_order() {
    let local = TestRouter::start_with_timing(1, &[], PATIENT_TIMING).await;
    let remote = TestRouter::start_with_timing(2, &[local.address], PATIENT_TIMING).await;
    wait_until_joined((&local, 1), (&remote, 2)).await;
    let appends = (1..=400).map(|first| {
        let request =
            PeerRequest::JournalAppend { run: remote.witness.run, batch: batch(1, first) };
        // The time of a reply depends on the load of the machine, and is not what this test checks.
        async { local.client.request(&instance(2), request, TEST_TIMEOUT).await }
    });
    let outcomes = with_timeout("the appends", futures_util::future::join_all(appends)).await;
    let is_accepted = |outcome: &Result<PeerReply, _>| {
        matches!(outcome, Ok(PeerReply::Append(AppendOutcome::Accepted)))
    };
    assert!(outcomes.iter().all(is_accepted), "{outcomes:?}");
    let order: Vec<_> = remote.handler.appended.borrow().iter().map(|entry| entry.1.0).collect();
    assert_eq!(order, (1..=400).collect::<Vec<_>>());
    assert_eq!(remote.violations_of(1), 0);
    let (sent, received) =
        (local.client.traffic(&instance(2)), remote.client.traffic(&instance(1)));
    assert!(sent.messages_out >= 400 && received.messages_in >= 400);
    assert!(received.bytes_in >= 400 * 8 && sent.bytes_in > 0);
}

/// Guards against a handler that never ends delaying other requests, or blocking its requester for ever.
#[compio::test]
async fn blocked_handler_does_not_delay_other_requests() {
    let local = TestRouter::start(1, &[]).await;
    let remote = TestRouter::start(2, &[local.address]).await;
    wait_until_joined((&local, 1), (&remote, 2)).await;
    remote.handler.is_blocked.set(true);
    let (append_batch, sealed) = (batch(1, 1), IncarnationId::from_number(1));
    let append = local.client.append(&remote.witness, &append_batch);
    let seal = local.client.seal(&remote.witness, sealed);
    let (append, seal) = with_timeout("both", futures_util::future::join(append, seal)).await;
    assert_eq!(append, AppendOutcome::Unreachable);
    assert!(matches!(seal, SealOutcome::Sealed(_)));
    assert!(local.is_joined(2), "the connection must stay up");
}

/// Guards against a restarted process being mistaken for the old one, and against an old process that resumes
/// replacing the new one.
#[compio::test]
async fn restarted_peer_replaces_its_old_run() {
    let local = TestRouter::start(1, &[]).await;
    let remote = TestRouter::start(2, &[local.address]).await;
    wait_until_joined((&local, 1), (&remote, 2)).await;
    let (address, old_witness) = (remote.address, remote.witness.clone());
    drop(remote);
    wait_until("the peer is suspect", || local.state_of(2) == Some(PeerState::Suspect)).await;
    wait_until("the peer is dead", || local.state_of(2) == Some(PeerState::Dead)).await;
    assert_eq!(local.client.append(&old_witness, &batch(1, 1)).await, AppendOutcome::Unreachable);

    let restarted = TestRouter::start_run(2, 22, address, &[local.address]).await;
    wait_until_joined((&local, 1), (&restarted, 2)).await;
    assert_eq!(local.view().peers[&instance(2)].heartbeat.run, IncarnationId::from_number(22));
    assert_eq!(local.client.append(&old_witness, &batch(1, 1)).await, AppendOutcome::WrongRun);
    assert_eq!(
        local.client.append(&restarted.witness, &batch(1, 1)).await,
        AppendOutcome::Accepted
    );

    let refused = local.view().refused_connections;
    let any_port = "127.0.0.1:0".parse().unwrap();
    let _old_run = TestRouter::start_run(2, 2, any_port, &[local.address]).await;
    wait_until("the old run is refused", || local.view().refused_connections > refused).await;
    assert_eq!(local.view().peers[&instance(2)].heartbeat.run, IncarnationId::from_number(22));
}

#[derive(Debug, Clone, Copy)]
enum Cut {
    Outgoing,
    Incoming,
    Both,
}

/// Guards against requests that never end when the network is cut in one direction, and against links that do
/// not recover.
#[test_case(Cut::Outgoing)]
#[test_case(Cut::Incoming)]
#[test_case(Cut::Both)]
#[compio::test]
async fn cut_link_fails_requests_and_recovers(cut: Cut) {
    let local = TestRouter::start(1, &[]).await;
    let remote = TestRouter::start(2, &[local.address]).await;
    let third = TestRouter::start(3, &[local.address]).await;
    wait_until_joined((&local, 1), (&remote, 2)).await;
    wait_until_joined((&local, 1), (&third, 3)).await;
    let isolated = LinkFault::isolate([instance(2)]);
    local.client.set_fault(match cut {
        Cut::Outgoing => LinkFault { cut_to: isolated.cut_to, ..Default::default() },
        Cut::Incoming => LinkFault { cut_from: isolated.cut_from, ..Default::default() },
        Cut::Both => isolated,
    });
    let entries = batch(1, 1);
    let append = local.client.append(&remote.witness, &entries);
    assert_eq!(with_timeout("the append", append).await, AppendOutcome::Unreachable);
    let has_arrived = !remote.handler.appended.borrow().is_empty();
    assert_eq!(has_arrived, matches!(cut, Cut::Incoming));
    wait_until("the peer is dead", || local.state_of(2) == Some(PeerState::Dead)).await;
    wait_until("the peer considers this router dead", || {
        remote.state_of(1) == Some(PeerState::Dead)
    })
    .await;
    assert!(local.is_joined(3) && remote.is_joined(3), "the other connections must stay up");
    local.client.set_fault(LinkFault::default());
    wait_until_joined((&local, 1), (&remote, 2)).await;
    let append = local.client.append(&remote.witness, &entries);
    assert_eq!(with_timeout("the append", append).await, AppendOutcome::Accepted);
}

/// Guards against a process that was paused taking its own pause for silence of its peers.
#[compio::test]
async fn own_pause_does_not_mark_peers_dead() {
    let local = TestRouter::start(1, &[]).await;
    let remote = TestRouter::start(2, &[local.address]).await;
    wait_until_joined((&local, 1), (&remote, 2)).await;
    let client = local.client.clone();
    let watcher = compio::runtime::spawn(async move {
        let mut changes = client.changes();
        loop {
            changes.changed().await;
            let view = client.view();
            if view.peers.values().any(|record| record.state == PeerState::Dead) {
                return;
            }
        }
    });
    // Both routers run on this thread, so neither receives nor sends anything meanwhile.
    std::thread::sleep(Duration::from_millis(1_500));
    wait_until_joined((&local, 1), (&remote, 2)).await;
    assert!(!watcher.is_finished(), "a peer was considered dead");
}
