//! Peers that break the protocol or its limits, stall, or connect twice.

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
use support::{BarePeer, PATIENCE, TestRouter, identity, in_time, instance, secret, until};
use test_case::test_case;

fn request(correlation: u64, request: PeerRequest) -> DialerMessage {
    DialerMessage::Request(RequestEnvelope { correlation, timeout_ms: 1_000, request })
}

/// Guards against a peer without the secret, of another version, or without any handshake being let in.
#[test_case(1, PROTOCOL_VERSION, 7, AcceptorMessage::Welcome ; "right")]
#[test_case(1, PROTOCOL_VERSION, 8, AcceptorMessage::Refused(RefusalReason::Secret) ; "wrong secret")]
#[test_case(1, 99, 7, AcceptorMessage::Refused(RefusalReason::Version(PROTOCOL_VERSION)) ; "wrong version")]
#[compio::test]
async fn handshake_ends(number: u64, version: u32, secret_byte: u8, expected: AcceptorMessage) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = BarePeer::dial(router.address).await;
    let secret = FleetSecret::new(vec![secret_byte; 32]).unwrap();
    let ended = peer.introduce(identity(number, 1), version, &secret).await.unwrap();
    assert_eq!(ended, expected);
    peer.until_closed().await;
    let is_welcome = expected == AcceptorMessage::Welcome;
    until("the end is counted", || router.view().refused_connections == u64::from(!is_welcome))
        .await;
    assert!(router.view().peers.is_empty());
}

/// Guards against a stranger taking memory before it is authenticated.
#[test_case(MAX_HANDSHAKE_FRAME_BYTES as u32 + 1)]
#[test_case(u32::MAX)]
#[compio::test]
async fn large_first_frame_is_refused(length: u32) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = BarePeer::dial(router.address).await;
    peer.writer.send(Bytes::copy_from_slice(&length.to_be_bytes())).await.unwrap();
    until("the refusal is counted", || router.view().refused_connections == 1).await;
    peer.until_closed().await;
}

#[derive(Debug, Clone, Copy)]
enum Breach {
    Oversize,
    Flood,
    Garbage,
    HelloAgain,
    ForeignHeartbeat,
}

/// Guards against a peer that breaks a limit staying connected, and against it hurting others.
#[test_case(Breach::Oversize)]
#[test_case(Breach::Flood)]
#[test_case(Breach::Garbage)]
#[test_case(Breach::HelloAgain)]
#[test_case(Breach::ForeignHeartbeat)]
#[compio::test]
async fn breach_closes_the_connection(breach: Breach) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = BarePeer::dial(router.address).await;
    let welcome = peer.introduce(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
    assert_eq!(welcome, AcceptorMessage::Welcome);
    match breach {
        Breach::Oversize => {
            let prefix = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
            peer.writer.send(Bytes::copy_from_slice(&prefix)).await.unwrap();
        }
        Breach::Flood => {
            let message = request(0, PeerRequest::ConfigFetch);
            for _ in 0..2 * MAX_MESSAGES_PER_SECOND {
                if peer.send(&message).await.is_err() {
                    break;
                }
            }
        }
        Breach::Garbage => {
            let garbage = [0, 0, 0, 3, 0xff, 0xff, 0xff];
            peer.writer.send(Bytes::copy_from_slice(&garbage)).await.unwrap();
        }
        Breach::HelloAgain => {
            let hello = DialerMessage::Hello {
                version: PROTOCOL_VERSION,
                identity: identity(1, 1),
                nonce: [0; 32],
            };
            peer.send(&hello).await.unwrap();
        }
        Breach::ForeignHeartbeat => {
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
    peer.until_closed().await;
    until("the breach is counted", || router.violations_of(1) == 1).await;
    assert!(router.view().peers.is_empty());
    let mut sound = BarePeer::dial(router.address).await;
    let welcome = sound.introduce(identity(4, 4), PROTOCOL_VERSION, &secret()).await.unwrap();
    assert_eq!(welcome, AcceptorMessage::Welcome);
}

#[derive(Debug, Clone, Copy)]
enum Stall {
    BeforeHello,
    AfterChallenge,
    AfterWelcome,
}

/// Guards against a peer that says nothing holding a connection for ever.
#[test_case(Stall::BeforeHello)]
#[test_case(Stall::AfterChallenge)]
#[test_case(Stall::AfterWelcome)]
#[compio::test]
async fn silent_dialer_is_closed(stall: Stall) {
    let router = TestRouter::start(2, &[]).await;
    let mut peer = BarePeer::dial(router.address).await;
    match stall {
        Stall::BeforeHello => {}
        Stall::AfterChallenge => {
            let identity = identity(1, 1);
            let version = PROTOCOL_VERSION;
            let hello = DialerMessage::Hello { version, identity, nonce: [0; 32] };
            peer.send(&hello).await.unwrap();
        }
        Stall::AfterWelcome => {
            peer.introduce(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
        }
    }
    peer.until_closed().await;
}

/// Guards against requests to a peer that does not read or reply waiting for ever, or taking all memory.
#[compio::test]
async fn stalled_acceptor_is_given_up() {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let router = TestRouter::start(2, &[listener.local_addr().unwrap()]).await;
    let mut peer = in_time("the dialer", BarePeer::accept(&listener)).await;
    in_time("the handshake", peer.welcome(identity(1, 1))).await;
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
    // More than the window and the queue hold together.
    let appends = (0..40).map(|_| router.client.append(&witness, &large));
    let started = Instant::now();
    let outcomes = in_time("the appends", futures_util::future::join_all(appends)).await;
    assert!(outcomes.iter().all(|outcome| *outcome == AppendOutcome::Unreachable));
    assert!(started.elapsed() < PATIENCE / 2);
    peer.until_closed().await;
    drop(listener);
    let outcome = router.client.append(&witness, &support::batch(1, 1)).await;
    assert_eq!(outcome, AppendOutcome::Unreachable);
}

/// Guards against a half-open old connection keeping a peer that reconnects out.
#[compio::test]
async fn newer_connection_replaces_the_older() {
    let router = TestRouter::start(2, &[]).await;
    let mut older = BarePeer::dial(router.address).await;
    older.introduce(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
    let mut newer = BarePeer::dial(router.address).await;
    newer.introduce(identity(1, 1), PROTOCOL_VERSION, &secret()).await.unwrap();
    older.until_closed().await;
    newer.send(&request(5, PeerRequest::ConfigFetch)).await.unwrap();
    let AcceptorMessage::Reply(envelope) = newer.receive().await.unwrap() else {
        panic!("no reply");
    };
    assert_eq!(envelope.correlation, 5);
    assert!(matches!(envelope.reply, PeerReply::Config(Some(_))));
    assert_eq!(router.violations_of(1), 0);
}
