use std::{net::SocketAddr, time::Duration};

use bramleywind_router::RequestLimits;
use bramleywind_standins::EngineOptions;
use bramleywind_store::{InstanceKind, InstanceRecord, InstanceState};
use bramleywind_types::{EntryList, RefusalCode, RunState};
use compio::time::timeout;
use http::StatusCode;
use test_case::test_case;

use crate::harness::{
    FleetPlan, KEY, PATIENCE, TOKEN, TestFleet, chat, eventually, fast_engine, get, keyed, open,
    open_slowly, post, run,
};

async fn entries(address: SocketAddr) -> Vec<String> {
    let answer = open(address, get("/v1/entries", KEY)).await.whole().await;
    let list: EntryList = serde_json::from_slice(&answer.body).unwrap();
    assert!(!list.valid_until_ms.has_passed());
    list.entries.into_iter().map(|entry| entry.instance.to_string()).collect()
}

async fn drain_by_operator(fleet: &TestFleet) {
    let mut request = post("/v1/drain", "");
    let token = format!("Bearer {TOKEN}").parse().unwrap();
    request.headers_mut().insert("authorization", token);
    let answer = open(fleet.routers[0].operator_address(), request).await.whole().await;
    assert!(answer.text().contains(r#""state":"leaving""#), "{}", answer.text());
}

async fn drain_by_mark(fleet: &TestFleet) {
    fleet.instances.put(InstanceRecord {
        instance: "entry-0".parse().unwrap(),
        data_centre: "dc-0".parse().unwrap(),
        address: fleet.caller(),
        kind: InstanceKind::Entry,
        state: InstanceState::Leaving,
    });
    let state = fleet.routers[0].state();
    eventually("the mark was seen", || state.drain.borrow().is_leaving()).await;
}

/// Guards against a planned stop that interrupts a request, refuses a caller that could not know, or strands
/// funds.
#[test_case(true; "by an operator")]
#[test_case(false; "by the mark in the instance list")]
fn a_drain_interrupts_nothing_and_hands_everything_back(by_operator: bool) {
    run(async move {
        let limits = |limits: &mut RequestLimits| limits.drain_grace = Duration::from_millis(600);
        let engine = EngineOptions { tokens_per_second: 200, ..fast_engine() };
        let plan = FleetPlan { engines: vec![engine], limits, routers: 2, ..FleetPlan::default() };
        let fleet = TestFleet::start(plan).await;
        let other = fleet.routers[1].caller_address();
        assert_eq!(entries(other).await, ["entry-0", "entry-1"]);
        let mut long = open(fleet.caller(), chat("take your time", 400, true)).await;
        long.piece().await.unwrap();
        if by_operator {
            drain_by_operator(&fleet).await;
        } else {
            drain_by_mark(&fleet).await;
        }
        let graced = open(fleet.caller(), chat("did not know", 5, true)).await.whole().await;
        assert_eq!(graced.tokens().len(), 5);
        assert_eq!(graced.head.headers["connection"], "close");
        assert!(graced.head.headers.contains_key("bramleywind-leaving"));
        assert_eq!(entries(fleet.caller()).await, ["entry-1"]);
        let state = fleet.routers[1].state();
        eventually("the other router knows", || {
            state.live_peers().iter().any(|peer| peer.heartbeat.status.leaving)
        })
        .await;
        assert_eq!(entries(other).await, ["entry-1"]);
        let phase = || fleet.routers[0].state().phase();
        eventually("the grace is over", || phase() != bramleywind_router::DrainPhase::Grace).await;
        let refused = open(fleet.caller(), chat("too late", 5, true)).await.whole().await.refusal();
        assert_eq!((refused.code, refused.ran), (RefusalCode::Leaving, RunState::NotRun));
        let keyed_late = keyed(chat("too late", 5, true), "late-1");
        let refused = open(fleet.caller(), keyed_late).await.whole().await.refusal();
        assert_eq!(refused.ran, RunState::MayHaveRun, "an earlier copy may run elsewhere");
        let long = long.whole().await;
        assert!(long.text().ends_with("data: [DONE]\n\n"));
        timeout(PATIENCE, fleet.routers[0].drained()).await.expect("the drain ends");
        let dump = fleet.routers[0].state().funds.dump();
        let open_tokens: u64 = dump.budgets.values().map(|balance| balance.slice_open.0).sum();
        let held: u64 = dump.budgets.values().map(|balance| balance.slice_available.0).sum();
        assert_eq!((open_tokens, held), (0, 0));
    });
}

/// Guards against a router that needs the store to start, or that serves without a configuration.
#[test]
fn a_router_takes_its_configuration_from_a_peer_while_the_store_is_down() {
    run(async {
        let fleet = TestFleet::start(FleetPlan::default()).await;
        let late = fleet.start_cut_off_router().await;
        let health = open(late.caller_address(), get("/healthz", KEY)).await.whole().await;
        assert_eq!(health.head.status, StatusCode::SERVICE_UNAVAILABLE);
        eventually("the configuration came from the peer", || {
            late.state().current_routes().is_ok()
        })
        .await;
        let models = open(late.caller_address(), get("/v1/models", KEY)).await.whole().await;
        assert_eq!(models.head.status, StatusCode::OK);
    });
}

/// Guards against a stop that cuts off the end of an answer that its caller has not read yet.
#[test]
fn a_drain_waits_for_the_last_bytes() {
    run(async {
        // About 100 KB: more than the kernel's buffers hold, and less than those together with the router's.
        let limits = |limits: &mut RequestLimits| limits.drain_grace = Duration::from_millis(100);
        let engine = EngineOptions { tokens_per_second: 20_000, ..fast_engine() };
        let plan = FleetPlan { engines: vec![engine], limits, ..FleetPlan::default() };
        let mut fleet = TestFleet::start(plan).await;
        let answer = open_slowly(fleet.caller(), chat("read me slowly", 650, true)).await;
        let router = fleet.routers.pop().unwrap();
        eventually("the engine is done", || fleet.engines[0].stats().requests_finished == 1).await;
        let reader = compio::runtime::spawn(async move {
            // Until now the caller has read nothing, and the rest is on its way.
            compio::time::sleep(Duration::from_millis(500)).await;
            answer.whole().await
        });
        router.state().begin_drain("test");
        timeout(PATIENCE, router.drained()).await.expect("the drain ends");
        drop(router);
        assert_eq!(reader.await.unwrap().tokens().len(), 650);
    });
}
