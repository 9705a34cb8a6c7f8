//! Tests of the queue in front of the endpoints.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking, also in its helpers")]

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

/// A router's admission with one engine of one slot.
fn one_slot() -> Rc<Admission> {
    one_engine(1)
}

/// A router's admission with one engine.
fn one_engine(slots: u32) -> Rc<Admission> {
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

type Waiting = Receiver<Result<EndpointSlot, Refusal>>;

/// The slot, if the request was given one.
fn slot(waiting: &mut Waiting) -> Option<EndpointSlot> {
    waiting.try_recv().unwrap().map(Result::unwrap)
}

/// Guards against an order, or a share, that changes each time the queue is looked at.
#[test]
fn waiting_requests_keep_their_order() {
    let admission = one_slot();
    let mut running = admission.request(request("w")).unwrap();
    let running = slot(&mut running).unwrap();
    let mut waiting: Vec<_> = (0..3).map(|_| admission.request(request("w")).unwrap()).collect();
    for _ in 0..4 {
        admission.update_health(|_| {});
    }
    drop(running);
    for waiting in &mut waiting {
        drop(slot(waiting).expect("the earliest goes first"));
    }
}

/// Guards against a full queue that refuses the wrong workspace, or holds a refusal back.
#[test]
fn a_full_queue_refuses_the_workspace_that_fills_it() {
    let admission = one_slot();
    let mut running = admission.request(request("w")).unwrap();
    let _running = slot(&mut running).unwrap();
    let mut waiting: Vec<_> = (0..3).map(|_| admission.request(request("w")).unwrap()).collect();
    let refusal = admission.request(request("w")).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
    let mut other = admission.request(request("other")).unwrap();
    let displaced = waiting[2].try_recv().unwrap().unwrap().unwrap_err();
    assert_eq!(displaced.code, RefusalCode::Overloaded);
    assert!(slot(&mut other).is_none());
}

/// Guards against requests that wait for an endpoint that is known to be down or leaving.
#[test]
fn requests_without_an_endpoint_are_refused_at_once() {
    let admission = one_slot();
    let mut running = admission.request(request("w")).unwrap();
    let _running = slot(&mut running).unwrap();
    let mut waiting = admission.request(request("w")).unwrap();
    let now = Instant::now();
    admission.update_health(|health| health.record_down(&ENGINE.parse().unwrap(), now));
    let refusal = waiting.try_recv().unwrap().unwrap().unwrap_err();
    assert_eq!(refusal.code, RefusalCode::NoEndpoint);
    let refusal = admission.request(request("w")).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::NoEndpoint);
    assert!(refusal.retry_after_ms.is_some());
}

/// Guards against a slot that is lost with a caller that left.
#[test]
fn a_slot_that_nobody_waits_for_goes_to_the_next() {
    let admission = one_slot();
    let mut running = admission.request(request("w")).unwrap();
    let running = slot(&mut running).unwrap();
    let gone = admission.request(request("w")).unwrap();
    let mut next = admission.request(request("w")).unwrap();
    drop(gone);
    drop(running);
    let taken = slot(&mut next).unwrap();
    // A slot that was handed over and not taken comes back too.
    let abandoned = admission.request(request("w")).unwrap();
    drop(taken);
    drop(abandoned);
    assert!(slot(&mut admission.request(request("w")).unwrap()).is_some());
}

/// Guards against a router that never gets a slot, because the others fill each slot before the next report.
#[test]
fn a_router_keeps_its_share_while_reports_show_a_full_engine() {
    let admission = one_engine(6);
    admission.set_router_count(3);
    admission.record_report(&ENGINE.parse().unwrap(), LoadReport { running: 6, queued: 0 });
    let mut waiting: Vec<_> = (0..3).map(|_| admission.request(request("w")).unwrap()).collect();
    let slots: Vec<_> = waiting.iter_mut().map(slot).collect();
    assert!(slots[0].is_some() && slots[1].is_some(), "a third of six slots is this router's");
    assert!(slots[2].is_none(), "beyond its share the report counts");
}

/// Guards against requests that wait for most of their time only to be refused, and against a flooding
/// workspace that turns a small one away.
#[test]
fn requests_that_would_wait_too_long_are_refused_at_once() {
    let admission = one_slot();
    admission.record_answer(&ENGINE.parse().unwrap(), 1, 2_000.0);
    let mut running = admission.request(request("w")).unwrap();
    let _running = slot(&mut running).unwrap();
    let _waiting: Vec<_> = (0..2).map(|_| admission.request(request("w")).unwrap()).collect();
    let refusal = admission.request(request("w")).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    let delay_ms = refusal.retry_after_ms.unwrap();
    assert!(delay_ms >= 6_000, "two others and one running take 6 s, not {delay_ms} ms");
    assert!(admission.request(request("other")).is_ok(), "only one request goes before this one");
}
