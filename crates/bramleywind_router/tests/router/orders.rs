//! Tests of orders to engines from complete routers, and of requests for models that are not loaded.

use std::time::{Duration, Instant};

use bramleywind_orders::{
    EngineClient, EngineInventory, EngineOrder, InventoryOutcome, OrderAction, OrderOutcome,
    SendWindow, WantedEngine,
};
use bramleywind_router::EngineOrderClient;
use bramleywind_standins::{EngineOptions, EngineStandin};
use bramleywind_types::{FencingToken, ModelId, RefusalCode};
use http::StatusCode;

use crate::harness::{
    FleetOptions, MODEL, TestFleet, chat, fast_engine, get, open, run_test, wait_until,
};

fn empty_engine() -> EngineOptions {
    EngineOptions { models: Vec::new(), ..fast_engine() }
}

/// Guards against requests to an engine that is configured for a model but has not loaded it. Each of these requests
/// would lose an attempt.
#[test]
fn requests_go_only_to_engines_that_have_the_model() {
    run_test(async {
        let engines = vec![empty_engine(), fast_engine()];
        let fleet = TestFleet::start(FleetOptions { engines, ..FleetOptions::default() }).await;
        let model: ModelId = MODEL.parse().unwrap();
        let engine = "engine-0".parse().unwrap();
        wait_until("the report was read", || {
            fleet.routers[0].state().admission.lacks_model(&engine, &model)
        })
        .await;
        for _ in 0..6 {
            let answer = open(fleet.caller(), chat("who has it", 3, true)).await.complete().await;
            assert_eq!(answer.tokens().len(), 3);
        }
        assert_eq!(fleet.routers[0].state().metrics.retries.get(), 0);
        assert_eq!(fleet.engines[1].stats().requests_started, 6);
    });
}

/// Guards against downloads without a weight store, and against a request that waits for an engine that will not
/// load its model.
#[test]
fn a_model_that_no_engine_has_is_refused() {
    run_test(async {
        let engines = vec![empty_engine()];
        let fleet = TestFleet::start(FleetOptions { engines, ..FleetOptions::default() }).await;
        let state = fleet.routers[0].state();
        wait_until("the engine was found to lack its models", || state.orders.missing.get() == 3)
            .await;
        let refusal = open(fleet.caller(), chat("who", 3, true)).await.complete().await.refusal();
        assert_eq!(refusal.code, RefusalCode::NoEndpoint);
        assert!(refusal.retry_after_ms.is_some());
        assert!(fleet.engines[0].stats().orders.is_empty());
    });
}

/// Guards against an order lease that no router acquires, and against a loaded model that gets no requests.
#[test]
fn a_router_loads_what_the_configuration_asks_for() {
    run_test(async {
        let options = FleetOptions {
            engines: vec![empty_engine()],
            weight_store: Some("127.0.0.1:9".parse().unwrap()),
            ..FleetOptions::default()
        };
        let fleet = TestFleet::start(options).await;
        let model: ModelId = MODEL.parse().unwrap();
        let engine = "engine-0".parse().unwrap();
        let admission = &fleet.routers[0].state().admission;
        wait_until("the model is loaded", || fleet.engines[0].inventory().models.contains(&model))
            .await;
        wait_until("the report says so", || !admission.lacks_model(&engine, &model)).await;
        let answer = open(fleet.caller(), chat("now", 3, true)).await.complete().await;
        assert_eq!(answer.tokens().len(), 3);
        let status = open(fleet.routers[0].operator_address(), get("/v1/dump", "operators-token"));
        let dump = status.await.complete().await;
        assert_eq!(dump.head.status, StatusCode::OK);
        assert!(dump.text().contains(r#""orders":{"is_holder":true"#), "{}", dump.text());
    });
}

/// Guards the last check before an order is written: once its window has passed while the connection was opened, the
/// order must not be sent, because the lease may have expired.
#[test]
fn an_order_is_not_written_after_its_window() {
    run_test(async {
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
            async move { EngineOrderClient.send_order(&wanted, &order, window).await }
        };
        assert_eq!(send(7, Instant::now()).await, OrderOutcome::NotSent);
        assert!(engine.stats().orders.is_empty());
        let later = Instant::now() + Duration::from_secs(5);
        assert_eq!(send(7, later).await, OrderOutcome::Accepted);
        assert_eq!(send(6, later).await, OrderOutcome::Fenced);
        let found = EngineOrderClient.read_inventory(&wanted, later).await;
        let role = Some("prefill".into());
        let expected = EngineInventory { role, fencing: FencingToken(7), ..Default::default() };
        assert_eq!(found, InventoryOutcome::Found(expected));
    });
}

/// Guards against a drain that leaves the order lease unused for the 15 s until it expires.
#[test]
fn a_draining_holder_releases_the_order_lease() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions { routers: 2, ..FleetOptions::default() }).await;
        let holds = |index: usize| fleet.routers[index].state().orders.is_holder.get();
        wait_until("the lease is acquired", || holds(0) || holds(1)).await;
        let holder = usize::from(holds(1));
        fleet.routers[holder].state().begin_drain("test");
        wait_until("the lease has moved to the other router", || {
            holds(1 - holder) && !holds(holder)
        })
        .await;
    });
}
