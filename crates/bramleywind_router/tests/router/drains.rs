use std::{net::SocketAddr, time::Duration};

use bramleywind_router::RequestLimits;
use bramleywind_standins::EngineOptions;
use bramleywind_store::{InstanceKind, InstanceRecord, InstanceState};
use bramleywind_types::{EntryList, RefusalCode, RunState};
use compio::{
    io::{AsyncRead as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};
use http::StatusCode;
use test_case::test_case;

use crate::harness::{
    FleetOptions, KEY, TEST_TIMEOUT, TOKEN, TestFleet, chat, fast_engine, get, keyed, open,
    open_with_small_buffer, post, run_test, wait_until,
};

async fn fetch_entries(address: SocketAddr) -> Vec<String> {
    let answer = open(address, get("/v1/entries", KEY)).await.complete().await;
    let list: EntryList = serde_json::from_slice(&answer.body).unwrap();
    assert!(!list.valid_until_ms.has_passed());
    list.entries.into_iter().map(|entry| entry.instance.to_string()).collect()
}

async fn drain_by_operator(fleet: &TestFleet) {
    let mut request = post("/v1/drain", "");
    let token = format!("Bearer {TOKEN}").parse().unwrap();
    request.headers_mut().insert("authorization", token);
    let answer = open(fleet.routers[0].operator_address(), request).await.complete().await;
    assert!(answer.text().contains(r#""state":"leaving""#), "{}", answer.text());
}

async fn drain_by_instance_list(fleet: &TestFleet) {
    fleet.instances.put(InstanceRecord {
        instance: "entry-0".parse().unwrap(),
        data_centre: "dc-0".parse().unwrap(),
        address: fleet.caller(),
        kind: InstanceKind::Entry,
        state: InstanceState::Leaving,
    });
    let state = fleet.routers[0].state();
    wait_until("the mark was seen", || state.drain.borrow().is_leaving()).await;
}

/// Guards against a drain that interrupts a request, refuses a caller that cannot know of the drain yet, or leaves
/// funds behind.
#[test_case(true; "by an operator")]
#[test_case(false; "by the instance list")]
fn a_drain_finishes_requests_and_releases_funds(by_operator: bool) {
    run_test(async move {
        let limits = |limits: &mut RequestLimits| limits.drain_grace = Duration::from_millis(600);
        let engine = EngineOptions { tokens_per_second: 200, ..fast_engine() };
        let options =
            FleetOptions { engines: vec![engine], limits, routers: 2, ..FleetOptions::default() };
        let fleet = TestFleet::start(options).await;
        let other = fleet.routers[1].caller_address();
        assert_eq!(fetch_entries(other).await, ["entry-0", "entry-1"]);
        let mut long_answer = open(fleet.caller(), chat("take your time", 400, true)).await;
        long_answer.next_chunk().await.unwrap();
        if by_operator {
            drain_by_operator(&fleet).await;
        } else {
            drain_by_instance_list(&fleet).await;
        }
        let during_grace =
            open(fleet.caller(), chat("did not know", 5, true)).await.complete().await;
        assert_eq!(during_grace.tokens().len(), 5);
        assert_eq!(during_grace.head.headers["connection"], "close");
        assert!(during_grace.head.headers.contains_key("bramleywind-leaving"));
        assert_eq!(fetch_entries(fleet.caller()).await, ["entry-1"]);
        let state = fleet.routers[1].state();
        wait_until("the other router knows", || {
            state.live_peers().iter().any(|peer| peer.heartbeat.status.leaving)
        })
        .await;
        assert_eq!(fetch_entries(other).await, ["entry-1"]);
        let phase = || fleet.routers[0].state().phase();
        wait_until("the grace is over", || phase() != bramleywind_router::DrainPhase::Grace).await;
        let refused =
            open(fleet.caller(), chat("too late", 5, true)).await.complete().await.refusal();
        assert_eq!((refused.code, refused.ran), (RefusalCode::Leaving, RunState::NotRun));
        let late_request = keyed(chat("too late", 5, true), "late-1");
        let refused = open(fleet.caller(), late_request).await.complete().await.refusal();
        assert_eq!(refused.ran, RunState::MayHaveRun, "an earlier copy may run elsewhere");
        let long_answer = long_answer.complete().await;
        assert!(long_answer.text().ends_with("data: [DONE]\n\n"));
        timeout(TEST_TIMEOUT, fleet.routers[0].wait_for_drain()).await.expect("the drain ends");
        let dump = fleet.routers[0].state().ledger.dump();
        let open_tokens: u64 = dump.budgets.values().map(|balance| balance.slice_open.0).sum();
        let held: u64 = dump.budgets.values().map(|balance| balance.slice_available.0).sum();
        assert_eq!((open_tokens, held), (0, 0));
    });
}

/// Guards against a router that needs the store to start, or that reports healthy without a configuration.
#[test]
fn a_router_takes_its_configuration_from_a_peer_while_the_store_is_down() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        let router = fleet.start_router_without_store().await;
        let health = open(router.caller_address(), get("/healthz", KEY)).await.complete().await;
        assert_eq!(health.head.status, StatusCode::SERVICE_UNAVAILABLE);
        wait_until("the configuration came from the peer", || {
            router.state().current_routes().is_ok()
        })
        .await;
        let models = open(router.caller_address(), get("/v1/models", KEY)).await.complete().await;
        assert_eq!(models.head.status, StatusCode::OK);
    });
}

/// Guards against a drain that truncates an answer which its caller has not fully read.
#[test]
fn a_drain_waits_for_unread_answers() {
    run_test(async {
        // The answer of about 100 KB exceeds the kernel's buffers, but fits into these and the router's together.
        let limits = |limits: &mut RequestLimits| limits.drain_grace = Duration::from_millis(100);
        let engine = EngineOptions { tokens_per_second: 20_000, ..fast_engine() };
        let options = FleetOptions { engines: vec![engine], limits, ..FleetOptions::default() };
        let mut fleet = TestFleet::start(options).await;
        let answer =
            open_with_small_buffer(fleet.caller(), chat("read me slowly", 650, true)).await;
        let router = fleet.routers.pop().unwrap();
        wait_until("the engine is done", || fleet.engines[0].stats().requests_finished == 1).await;
        let reader = compio::runtime::spawn(async move {
            // The caller has read nothing so far, and the rest of the answer is still being sent.
            compio::time::sleep(Duration::from_millis(500)).await;
            answer.complete().await
        });
        router.state().begin_drain("test");
        timeout(TEST_TIMEOUT, router.wait_for_drain()).await.expect("the drain ends");
        drop(router);
        assert_eq!(reader.await.unwrap().tokens().len(), 650);
    });
}

/// Guards against a request that is passed on by a router that refuses new ones, because its body came late.
#[test]
fn a_request_completed_after_the_grace_is_refused() {
    run_test(async {
        let limits = |limits: &mut RequestLimits| limits.drain_grace = Duration::from_millis(200);
        let fleet = TestFleet::start(FleetOptions { limits, ..FleetOptions::default() }).await;
        let body = r#"{"model":"m","messages":[{"role":"user","content":"late"}],"max_tokens":5,"stream":false}"#
            .replace("\"m\"", &format!("\"{}\"", crate::harness::MODEL));
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {KEY}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = TcpStream::connect(fleet.caller()).await.unwrap();
        stream.write_all(head.into_bytes()).await.0.unwrap();
        compio::time::sleep(Duration::from_millis(50)).await;
        fleet.routers[0].state().begin_drain("test");
        compio::time::sleep(Duration::from_millis(400)).await;
        stream.write_all(body.into_bytes()).await.0.unwrap();
        let read = stream.read(Vec::with_capacity(4_096)).await;
        read.0.unwrap();
        let answer = String::from_utf8(read.1).unwrap();
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("leaving"), "{answer}");
        assert_eq!(fleet.engines[0].stats().requests_finished, 0);
    });
}
