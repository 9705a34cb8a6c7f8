//! Tests of the order duty in a whole router, and of requests for models that are not loaded.

use std::time::{Duration, Instant};

use bramleywind_orders::{
    EngineClient, EngineInventory, EngineOrder, InventoryOutcome, OrderAction, OrderOutcome,
    SendWindow, WantedEngine,
};
use bramleywind_router::EngineOrderLink;
use bramleywind_standins::{EngineOptions, EngineStandin};
use bramleywind_types::{FencingToken, ModelId, RefusalCode};
use http::StatusCode;

use crate::harness::{FleetPlan, MODEL, TestFleet, chat, eventually, fast_engine, get, open, run};

fn empty_engine() -> EngineOptions {
    EngineOptions { models: Vec::new(), ..fast_engine() }
}

/// Guards against requests that are sent to an engine that serves the model by the configuration and has not
/// loaded it, which would cost each of them an attempt.
#[test]
fn requests_go_only_to_engines_that_have_the_model() {
    run(async {
        let engines = vec![empty_engine(), fast_engine()];
        let fleet = TestFleet::start(FleetPlan { engines, ..FleetPlan::default() }).await;
        let model: ModelId = MODEL.parse().unwrap();
        let engine = "engine-0".parse().unwrap();
        eventually("the report was read", || {
            fleet.routers[0].state().admission.lacks_model(&engine, &model)
        })
        .await;
        for _ in 0..6 {
            let answer = open(fleet.caller(), chat("who has it", 3, true)).await.whole().await;
            assert_eq!(answer.tokens().len(), 3);
        }
        assert_eq!(fleet.routers[0].state().metrics.retries.get(), 0);
        assert_eq!(fleet.engines[1].stats().requests_started, 6);
    });
}

/// Guards against downloads without a weight store, and against a request that waits for an engine which
/// will not have its model.
#[test]
fn a_model_that_no_engine_has_is_refused() {
    run(async {
        let engines = vec![empty_engine()];
        let fleet = TestFleet::start(FleetPlan { engines, ..FleetPlan::default() }).await;
        let state = fleet.routers[0].state();
        eventually("the duty looked at the engine", || state.orders.missing.get() == 3).await;
        let refusal = open(fleet.caller(), chat("who", 3, true)).await.whole().await.refusal();
        assert_eq!(refusal.code, RefusalCode::NoEndpoint);
        assert!(refusal.retry_after_ms.is_some());
        assert!(fleet.engines[0].stats().orders.is_empty());
    });
}

/// Guards against a duty that nobody takes, and against a model that is loaded and gets no requests.
#[test]
fn a_router_loads_what_the_configuration_asks_for() {
    run(async {
        let plan = FleetPlan {
            engines: vec![empty_engine()],
            weight_store: Some("127.0.0.1:9".parse().unwrap()),
            ..FleetPlan::default()
        };
        let fleet = TestFleet::start(plan).await;
        let model: ModelId = MODEL.parse().unwrap();
        let engine = "engine-0".parse().unwrap();
        let admission = &fleet.routers[0].state().admission;
        eventually("the model is loaded", || fleet.engines[0].inventory().models.contains(&model))
            .await;
        eventually("the report says so", || !admission.lacks_model(&engine, &model)).await;
        let answer = open(fleet.caller(), chat("now", 3, true)).await.whole().await;
        assert_eq!(answer.tokens().len(), 3);
        let status = open(fleet.routers[0].operator_address(), get("/v1/dump", "operators-token"));
        let dump = status.await.whole().await;
        assert_eq!(dump.head.status, StatusCode::OK);
        assert!(dump.text().contains(r#""orders":{"is_holder":true"#), "{}", dump.text());
    });
}

/// Guards the last look at the lease: an order whose connection took until after the window is not written.
#[test]
fn an_order_is_not_written_after_its_window() {
    run(async {
        let engine = EngineStandin::start(empty_engine()).await.unwrap();
        let action = OrderAction::ChangeRole { role: "prefill".parse().unwrap() };
        let wanted = WantedEngine {
            endpoint: "engine-0".parse().unwrap(),
            address: engine.address(),
            checks_fencing: true,
            actions: vec![action.clone()],
        };
        let send = |fencing, latest_write| {
            let order = EngineOrder::new(&action, FencingToken(fencing), None);
            let window =
                SendWindow { latest_write, deadline: Instant::now() + Duration::from_secs(5) };
            let wanted = wanted.clone();
            async move { EngineOrderLink.send_order(&wanted, &order, window).await }
        };
        assert_eq!(send(7, Instant::now()).await, OrderOutcome::NotSent);
        assert!(engine.stats().orders.is_empty());
        let later = Instant::now() + Duration::from_secs(5);
        assert_eq!(send(7, later).await, OrderOutcome::Accepted);
        assert_eq!(send(6, later).await, OrderOutcome::Fenced);
        let found = EngineOrderLink.read_inventory(&wanted, later).await;
        let role = Some("prefill".into());
        let expected = EngineInventory { role, fencing: FencingToken(7), ..Default::default() };
        assert_eq!(found, InventoryOutcome::Found(expected));
    });
}

/// Guards against a drain that leaves the duty to nobody for the 15 s of its lease.
#[test]
fn a_draining_holder_hands_the_duty_over() {
    run(async {
        let fleet = TestFleet::start(FleetPlan { routers: 2, ..FleetPlan::default() }).await;
        let holds = |index: usize| fleet.routers[index].state().orders.is_holder.get();
        eventually("the duty is taken", || holds(0) || holds(1)).await;
        let holder = usize::from(holds(1));
        fleet.routers[holder].state().begin_drain("test");
        eventually("the duty is handed over", || holds(1 - holder) && !holds(holder)).await;
    });
}
