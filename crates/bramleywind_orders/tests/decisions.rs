//! Tests the decisions that need neither a store nor an engine. The current time is an argument.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::time::{Duration, Instant};

use bramleywind_config::{EndpointConfig, EndpointRole, ModelAdapter, ModelVersion};
use bramleywind_orders::{
    DispatchLease, DispatchTiming, EngineInventory, OrderAction, SendDecision, WantedEngine,
    missing_orders,
};
use bramleywind_types::{FencingToken, ModelId};
use support::lease;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a lease of 15 s that was acquired at `start`, with the default timing.
fn holder(start: Instant) -> DispatchLease {
    let mut held = DispatchLease::new(DispatchTiming::default());
    held.set_acquired(lease(7, start + 15 * SECOND), start);
    held
}

/// Guards against an order whose call could outlast the lease: a call takes up to 4 s, and the margin is 1 s.
#[test_case(0, true => true; "fresh")]
#[test_case(10, true => true; "just enough is left")]
#[test_case(11, true => false; "too little is left")]
#[test_case(40, true => false; "woken after the lease")]
#[test_case(10, false => false; "unfenced and not settled")]
fn lease_allows_a_send(elapsed: u32, checks_fencing: bool) -> bool {
    let start = Instant::now();
    let now = start + elapsed * SECOND;
    let decision = holder(start).send_decision(now, checks_fencing);
    if let SendDecision::Allowed(fencing, window) = decision {
        assert_eq!(fencing, FencingToken(7));
        assert!(window.deadline + SECOND <= start + 15 * SECOND);
        assert!(window.latest_write + 5 * SECOND <= start + 15 * SECOND);
    }
    matches!(decision, SendDecision::Allowed(..))
}

/// Guards against a new holder that does not wait for the previous holder's lease and longest order.
#[test]
fn settling_ends_after_lease_and_order_time() {
    let start = Instant::now();
    let mut held = holder(start);
    let settled_at = start + 19 * SECOND;
    assert_eq!(held.send_decision(start, false), SendDecision::Settling(settled_at));
    held.set_renewed(start + 33 * SECOND);
    assert_eq!(
        held.send_decision(settled_at - Duration::from_millis(1), false),
        SendDecision::Settling(settled_at)
    );
    assert!(matches!(held.send_decision(settled_at, false), SendDecision::Allowed(..)));
}

/// Guards against an acquisition that counts although its answer arrived after the lease had ended.
#[test]
fn late_answer_of_an_acquisition_is_no_lease() {
    let start = Instant::now();
    let mut held = DispatchLease::new(DispatchTiming::default());
    held.set_acquired(lease(1, start), start + SECOND);
    assert!(held.take().is_none());
}

/// Guards against a holder that keeps sending although an engine has seen a newer fencing token and no renewal
/// has confirmed the lease since.
#[test]
fn required_renewal_stops_orders_until_it_succeeds() {
    let start = Instant::now();
    let mut held = holder(start);
    assert!(!held.is_renewal_due(start));
    held.require_renewal(start);
    assert!(held.is_renewal_due(start));
    assert_eq!(held.send_decision(start, true), SendDecision::Unconfirmed);
    held.set_renewed(start + 15 * SECOND);
    assert!(matches!(held.send_decision(start, true), SendDecision::Allowed(..)));
}

/// Guards the sequence of orders: the role precedes the models, a model precedes its version and adapters, and
/// results that are already in place are not ordered.
#[test]
fn missing_orders_come_in_order() {
    let model: ModelId = "weave".parse().unwrap();
    let version = ModelVersion { model: model.clone(), version: "v2".parse().unwrap() };
    let adapter = ModelAdapter { model: model.clone(), adapter: "ferry".parse().unwrap() };
    let config = EndpointConfig {
        id: "engine-1".parse().unwrap(),
        instance: "engine-1".parse().unwrap(),
        data_centre: "akl-a".parse().unwrap(),
        address: "192.0.2.11:8080".parse().unwrap(),
        slots: 1,
        role: EndpointRole::Engine {
            models: vec![model],
            versions: vec![version],
            adapters: vec![adapter],
            role: Some("prefill".parse().unwrap()),
        },
        checks_fencing: true,
    };
    let wanted = WantedEngine::from_config(&config).unwrap();
    let kinds: Vec<_> = wanted.actions.iter().map(OrderAction::kind).collect();
    assert_eq!(kinds, ["change_role", "load_model", "load_version", "load_adapter"]);
    let mut inventory = EngineInventory::default();
    assert!(missing_orders(&wanted, &inventory).into_iter().eq(&wanted.actions));
    inventory.models.insert("weave".into());
    inventory.versions.insert("weave".into(), "v1".into());
    let missing = missing_orders(&wanted, &inventory);
    assert_eq!(missing, [&wanted.actions[0], &wanted.actions[2], &wanted.actions[3]]);
}

/// Guards against a load on the store that grows with the number of routers.
#[test_case(6; "today")]
#[test_case(380; "target size")]
fn contention_does_not_grow_with_the_fleet(routers: usize) {
    let interval = DispatchTiming::default().contention_interval(routers);
    let calls_per_second = (routers - 1) as f64 / interval.as_secs_f64();
    assert!(calls_per_second < 0.5, "{calls_per_second}");
}
