//! Peers that violate the protocol or its limits, stall, or connect twice.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::time::Instant;

use bramleywind_ledger::{AppendOutcome, JournalLink as _, WitnessId};
use bramleywind_peer::{
    FleetSecret, Heartbeat, MAX_MESSAGES_PER_SECOND, PeerHandler as _,
    wire::{
        AcceptorMessage, DialerMessage, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES,
        PROTOCOL_VERSION, PeerReply, PeerRequest, RefusalReason, RequestEnvelope,
    },
};
use bramleywind_types::IncarnationId;
use bytes::Bytes;
use support::{
    PATIENT_TIMING, RawPeer, TEST_TIMEOUT, TestRouter, identity, instance, secret, wait_until,
    with_timeout,
};
use test_case::test_case;

fn request(correlation: u64, request: PeerRequest) -> DialerMessage {
    DialerMessage::Request(RequestEnvelope { correlation, timeout_ms: 1_000, request })
}

/// Guards against accepting a peer without the secret, with another protocol version, or without any handshake.
#[test_case(1, PROTOCOL_VERSION, 7, AcceptorMessage::Welcome ; "valid handshake")]
#[test_case(1, PROTOCOL_VERSION, 8, AcceptorMessage::Refused(RefusalReason::Secret) ; "wrong secret")]
#[test_case(1, 99, 7, AcceptorMessage::Refused(RefusalReason::Version(PROTOCOL_VERSION)) ; "wrong version")]
#[compio::test]
async fn handshake_outcome(number: u64, version: u32, secret_byte: u8, expected: AcceptorMessage) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = RawPeer::dial(router.address).await;
    let secret = FleetSecret::new(vec![secret_byte; 32]).unwrap();
    let ended = peer.handshake_as_dialer(identity(number, 1), version, &secret).await.unwrap();
    assert_eq!(ended, expected);
    peer.wait_until_closed().await;
    let is_welcome = expected == AcceptorMessage::Welcome;
    wait_until("the end is counted", || {
        router.view().refused_connections == u64::from(!is_welcome)
    })
    .await;
    assert!(router.view().peers.is_empty());
}

/// Guards against an unauthenticated peer taking memory.
#[test_case(MAX_HANDSHAKE_FRAME_BYTES as u32 + 1)]
#[test_case(u32::MAX)]
#[compio::test]
async fn large_first_frame_is_refused(length: u32) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = RawPeer::dial(router.address).await;
    peer.writer.send(Bytes::copy_from_slice(&length.to_be_bytes())).await.unwrap();
    wait_until("the refusal is counted", || router.view().refused_connections == 1).await;
    peer.wait_until_closed().await;
}

#[derive(Debug, Clone, Copy)]
enum Violation {
    Oversize,
    Flood,
    Garbage,
    HelloAgain,
    ForeignHeartbeat,
}

/// Guards against a peer that violates a limit staying connected, and against effects on other peers.
#[test_case(Violation::Oversize)]
#[test_case(Violation::Flood)]
#[test_case(Violation::Garbage)]
#[test_case(Violation::HelloAgain)]
#[test_case(Violation::ForeignHeartbeat)]
#[compio::test]
async fn violation_closes_the_connection(violation: Violation) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = RawPeer::dial(router.address).await;
    let welcome =
        peer.handshake_as_dialer(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
    assert_eq!(welcome, AcceptorMessage::Welcome);
    match violation {
        Violation::Oversize => {
            let prefix = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
            peer.writer.send(Bytes::copy_from_slice(&prefix)).await.unwrap();
        }
        Violation::Flood => {
            let message = request(0, PeerRequest::ConfigFetch);
            for _ in 0..2 * MAX_MESSAGES_PER_SECOND {
                if peer.send(&message).await.is_err() {
                    break;
                }
            }
        }
        Violation::Garbage => {
            let garbage = [0, 0, 0, 3, 0xff, 0xff, 0xff];
            peer.writer.send(Bytes::copy_from_slice(&garbage)).await.unwrap();
        }
        Violation::HelloAgain => {
            let hello = DialerMessage::Hello {
                version: PROTOCOL_VERSION,
                identity: identity(1, 1),
                nonce: [0; 32],
            };
            peer.send(&hello).await.unwrap();
        }
        Violation::ForeignHeartbeat => {
            let heartbeat = Heartbeat {
                instance: instance(3),
                run: IncarnationId::from_number(1),
                data_centre: "nz-north".parse().unwrap(),
                peer_address: router.address,
                status: router.handler.status(),
            };
            let foreign = PeerRequest::Heartbeat { heartbeat, known: None };
            peer.send(&request(1, foreign)).await.unwrap();
        }
    }
    peer.wait_until_closed().await;
    wait_until("the violation is counted", || router.violations_of(1) == 1).await;
    assert!(router.view().peers.is_empty());
    let mut well_behaved = RawPeer::dial(router.address).await;
    let welcome = well_behaved
        .handshake_as_dialer(identity(4, 4), PROTOCOL_VERSION, &secret())
        .await
        .unwrap();
    assert_eq!(welcome, AcceptorMessage::Welcome);
}

#[derive(Debug, Clone, Copy)]
enum Stall {
    BeforeHello,
    AfterChallenge,
    AfterWelcome,
}

/// Guards against a silent peer holding a connection for ever.
#[test_case(Stall::BeforeHello)]
#[test_case(Stall::AfterChallenge)]
#[test_case(Stall::AfterWelcome)]
#[compio::test]
async fn silent_dialer_is_closed(stall: Stall) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = RawPeer::dial(router.address).await;
    match stall {
        Stall::BeforeHello => {}
        Stall::AfterChallenge => {
            let identity = identity(1, 1);
            let version = PROTOCOL_VERSION;
            let hello = DialerMessage::Hello { version, identity, nonce: [0; 32] };
            peer.send(&hello).await.unwrap();
        }
        Stall::AfterWelcome => {
            peer.handshake_as_dialer(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
        }
    }
    peer.wait_until_closed().await;
}

/// Guards against requests to a peer that neither reads nor replies waiting for ever, or exhausting the memory.
#[compio::test]
async fn stalled_acceptor_is_disconnected() {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let router = TestRouter::start(2, &[listener.local_addr().unwrap()]).await;
    let mut peer = with_timeout("the dialer", RawPeer::accept(&listener)).await;
    with_timeout("the handshake", peer.handshake_as_acceptor(identity(1, 1))).await;
    let witness = WitnessId { instance: instance(1), run: IncarnationId::from_number(1) };
    let large = bramleywind_ledger::JournalBatch {
        entries: vec![
            bramleywind_ledger::JournalEntry::Settle {
                reservation: bramleywind_types::JournalSequence(1),
                billed: bramleywind_types::TokenCount(1),
            };
            100_000
        ],
        ..support::batch(1, 1)
    };
    // More than the h2 window and the outbound queue hold together.
    let appends = (0..40).map(|_| router.client.append(&witness, &large));
    let started = Instant::now();
    let outcomes = with_timeout("the appends", futures_util::future::join_all(appends)).await;
    assert!(outcomes.iter().all(|outcome| *outcome == AppendOutcome::Unreachable));
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    peer.wait_until_closed().await;
    drop(listener);
    let outcome = router.client.append(&witness, &support::batch(1, 1)).await;
    assert_eq!(outcome, AppendOutcome::Unreachable);
}

/// Guards against a half-open old connection that keeps a peer from reconnecting.
#[compio::test]
async fn newer_connection_replaces_the_older() {
    // The raw peers send no heartbeats, so only the replacement may close the older connection.
    let router = TestRouter::start_with_timing(2, &[], PATIENT_TIMING).await;
    let mut older = RawPeer::dial(router.address).await;
    older.handshake_as_dialer(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
    let mut newer = RawPeer::dial(router.address).await;
    newer.handshake_as_dialer(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
    older.wait_until_closed().await;
    newer.send(&request(5, PeerRequest::ConfigFetch)).await.unwrap();
    let AcceptorMessage::Reply(envelope) = newer.receive().await.unwrap() else {
        panic!("no reply");
    };
    assert_eq!(envelope.correlation, 5);
    assert!(matches!(envelope.reply, PeerReply::Config(Some(_))));
    assert_eq!(router.violations_of(1), 0);
}
