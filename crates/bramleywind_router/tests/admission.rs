//! Tests of admission, which queues requests for endpoints.

#![allow(clippy::unwrap_used, reason = "helpers fail a test by panicking")]

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, WorkspaceSpec};
use bramleywind_router::{Admission, AdmissionRequest, EndpointSlot, RouteTable, RouteTarget};
use bramleywind_routing::{LoadReport, PolicyKind, RouteRequest};
use bramleywind_types::{ConfigRevision, Refusal, RefusalCode};
use futures_channel::oneshot::Receiver;

const ENGINE: &str = "engine-1";

/// Creates an admission with one engine that has one slot.
fn single_slot_engine() -> Rc<Admission> {
    engine_with_slots(1)
}

/// Creates an admission with one engine that has the given number of slots.
fn engine_with_slots(slots: u32) -> Rc<Admission> {
    let fleet = Fleet::new()
        .model(ModelSpec::new("m", 100))
        .workspace(WorkspaceSpec::new("w").budget("b", 1).key("k", "b").may_use_model("m"))
        .endpoint(
            EndpointSpec::engine(ENGINE, ["m"]).placed_in("dc").at("127.0.0.1:9").slots(slots),
        );
    let table = RouteTable::new(ConfigRevision(1), fleet.build().unwrap());
    let admission = Admission::new(PolicyKind::RoundRobin, 1, 3);
    admission.set_routes(Rc::new(table));
    admission
}

fn request(workspace: &str) -> AdmissionRequest {
    AdmissionRequest {
        workspace: workspace.parse().unwrap(),
        target: RouteTarget::Model("m".parse().unwrap()),
        route: RouteRequest { prefix: None, prompt_tokens: 1, answer_tokens: 1 },
        cost: 10,
        excluded: BTreeSet::new(),
        deadline: Instant::now() + Duration::from_secs(9),
    }
}

type PendingAdmission = Receiver<Result<EndpointSlot, Refusal>>;

/// Returns the slot if the request was given one.
fn take_slot(waiting: &mut PendingAdmission) -> Option<EndpointSlot> {
    waiting.try_recv().unwrap().map(Result::unwrap)
}

/// Guards against queue updates that change the order of waiting requests or the shares of workspaces.
#[test]
fn waiting_requests_keep_their_order() {
    let admission = single_slot_engine();
    let mut running = admission.request(request("w")).unwrap();
    let running = take_slot(&mut running).unwrap();
    let mut waiting: Vec<_> = (0..3).map(|_| admission.request(request("w")).unwrap()).collect();
    for _ in 0..4 {
        admission.update_health(|_| {});
    }
    drop(running);
    for waiting in &mut waiting {
        drop(take_slot(waiting).expect("the request that waits longest gets the slot"));
    }
}

/// Guards against a full queue that refuses the wrong workspace, or that delays the refusal.
#[test]
fn a_full_queue_refuses_the_workspace_that_fills_it() {
    let admission = single_slot_engine();
    let mut running = admission.request(request("w")).unwrap();
    let _running = take_slot(&mut running).unwrap();
    let mut waiting: Vec<_> = (0..3).map(|_| admission.request(request("w")).unwrap()).collect();
    let refusal = admission.request(request("w")).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
    let mut other = admission.request(request("other")).unwrap();
    let displaced = waiting[2].try_recv().unwrap().unwrap().unwrap_err();
    assert_eq!(displaced.code, RefusalCode::Overloaded);
    assert!(take_slot(&mut other).is_none());
}

/// Guards against requests that wait for an endpoint known to be down or leaving.
#[test]
fn requests_without_an_endpoint_are_refused_at_once() {
    let admission = single_slot_engine();
    let mut running = admission.request(request("w")).unwrap();
    let _running = take_slot(&mut running).unwrap();
    let mut waiting = admission.request(request("w")).unwrap();
    let now = Instant::now();
    admission.update_health(|health| health.record_down(&ENGINE.parse().unwrap(), now));
    let refusal = waiting.try_recv().unwrap().unwrap().unwrap_err();
    assert_eq!(refusal.code, RefusalCode::NoEndpoint);
    let refusal = admission.request(request("w")).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::NoEndpoint);
    assert!(refusal.retry_after_ms.is_some());
}

/// Guards against a slot that is lost when the caller that waits for it disconnects.
#[test]
fn an_unclaimed_slot_goes_to_the_next_request() {
    let admission = single_slot_engine();
    let mut running = admission.request(request("w")).unwrap();
    let running = take_slot(&mut running).unwrap();
    let cancelled = admission.request(request("w")).unwrap();
    let mut next = admission.request(request("w")).unwrap();
    drop(cancelled);
    drop(running);
    let taken = take_slot(&mut next).unwrap();
    // A slot that was assigned but never received is released as well.
    let abandoned = admission.request(request("w")).unwrap();
    drop(taken);
    drop(abandoned);
    assert!(take_slot(&mut admission.request(request("w")).unwrap()).is_some());
}

/// Guards against a router that never gets a slot because other routers fill every slot before the next report.
#[test]
fn a_router_keeps_its_share_while_reports_show_a_full_engine() {
    let admission = engine_with_slots(6);
    admission.set_router_count(3);
    admission.record_report(&ENGINE.parse().unwrap(), LoadReport { running: 6, queued: 0 });
    let mut waiting: Vec<_> = (0..3).map(|_| admission.request(request("w")).unwrap()).collect();
    let slots: Vec<_> = waiting.iter_mut().map(take_slot).collect();
    assert!(
        slots[0].is_some() && slots[1].is_some(),
        "one of three routers may use two of six slots"
    );
    assert!(slots[2].is_none(), "beyond its share, the router must respect the report");
}

/// Guards against requests that wait for most of their time and are then refused, and against a workspace with many
/// requests that causes those of another one to be refused.
#[test]
fn requests_that_would_wait_too_long_are_refused_at_once() {
    let admission = single_slot_engine();
    admission.record_answer(&ENGINE.parse().unwrap(), 1, 2_000.0);
    let mut running = admission.request(request("w")).unwrap();
    let _running = take_slot(&mut running).unwrap();
    let _waiting: Vec<_> = (0..2).map(|_| admission.request(request("w")).unwrap()).collect();
    let refusal = admission.request(request("w")).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    let delay_ms = refusal.retry_after_ms.unwrap();
    assert!(
        delay_ms >= 6_000,
        "two waiting requests and a running one take 6 s, not {delay_ms} ms"
    );
    assert!(
        admission.request(request("other")).is_ok(),
        "only one request is served before this one"
    );
}
