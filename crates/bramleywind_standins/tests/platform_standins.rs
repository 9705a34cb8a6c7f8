//! Tests the behaviour of the instance list, the plain service, the store and the weight store that routers
//! rely on.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::time::Duration;

use bramleywind_standins::{
    CRASH_HEADER, InstanceFaults, InstancesStandin, ServiceExecutions, ServiceFaults,
    ServiceOptions, ServiceStandin, StoreStandin, WeightsOptions, WeightsStandin,
};
use bramleywind_store::{
    CallCounters, DirectoryOutcome, InstanceDirectory, InstanceKind, InstanceList, InstanceRecord,
    InstanceState, StoreFaults, UnavailableReason, wire::LeaseGrant,
};
use http::{Method, StatusCode};
use support::{TEST_TIMEOUT, any_address, block_on, client, get_json, send_json};
use test_case::test_case;

fn record(state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        instance: "engine-1".parse().unwrap(),
        data_centre: "akl-a".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        kind: InstanceKind::Endpoint,
        state,
    }
}

/// Checks the client and the protocol of the instance list, including its lag and outage.
#[test]
fn instance_list_lags_and_fails() {
    block_on(async {
        let standin = InstancesStandin::start(any_address()).await.unwrap();
        let directory = InstanceDirectory::new(standin.address(), TEST_TIMEOUT).unwrap();
        let path = "/control/instances/engine-1";
        let put =
            send_json(Method::PUT, standin.address(), path, &record(InstanceState::Live)).await;
        assert_eq!(put.unwrap().status(), StatusCode::OK);
        let live = InstanceList { instances: vec![record(InstanceState::Live)] };
        assert_eq!(directory.fetch().await, DirectoryOutcome::Found(live.clone()));

        standin.set_faults(InstanceFaults { lag_ms: 800, outage: false });
        standin.put(record(InstanceState::Leaving));
        assert_eq!(directory.fetch().await, DirectoryOutcome::Found(live.clone()));
        let leaving = InstanceList { instances: vec![record(InstanceState::Leaving)] };
        while directory.fetch().await == DirectoryOutcome::Found(live.clone()) {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(directory.fetch().await, DirectoryOutcome::Found(leaving));

        standin.set_faults(InstanceFaults { lag_ms: 0, outage: true });
        let outage = DirectoryOutcome::Unavailable(UnavailableReason::Outage);
        assert_eq!(directory.fetch().await, outage);
        let address = standin.address();
        drop(standin);
        assert_eq!(InstanceDirectory::new(address, TEST_TIMEOUT).unwrap().fetch().await, outage);
    });
}

/// Tests of at-most-once execution rely on this: an execution counts even if the caller gets no response.
#[test_case(ServiceFaults::default(), Some(StatusCode::OK), 1 ; "no fault")]
#[test_case(ServiceFaults { fail_next: 1, ..ServiceFaults::default() }, Some(StatusCode::INTERNAL_SERVER_ERROR), 1 ; "failed")]
#[test_case(ServiceFaults { lose_next: 1, ..ServiceFaults::default() }, None, 1 ; "answer lost")]
#[test_case(ServiceFaults { refuse_next: 1, ..ServiceFaults::default() }, Some(StatusCode::SERVICE_UNAVAILABLE), 0 ; "refused")]
#[test_case(ServiceFaults { leaving: true, ..ServiceFaults::default() }, Some(StatusCode::SERVICE_UNAVAILABLE), 0 ; "leaving")]
fn service_counts_executions(faults: ServiceFaults, expected: Option<StatusCode>, count: u64) {
    block_on(async {
        let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
        service.set_faults(faults);
        let url = format!("http://{}/orders/7", service.address());
        let builder = client().post(url).unwrap().header("Idempotency-Key", "k1").unwrap();
        let answer = builder.body("parts").send().await;
        assert_eq!(answer.ok().map(|answer| answer.status()), expected);
        let counted: ServiceExecutions = get_json(service.address(), "/control/executions").await;
        assert_eq!(counted.executions.get("k1").copied().unwrap_or_default(), count);
    });
}

/// Guards against a crash that still sends a response, and against one whose execution is not counted.
#[test]
fn service_crashes_on_its_header() {
    block_on(async {
        let options = ServiceOptions { down_time: TEST_TIMEOUT, ..ServiceOptions::default() };
        let service = ServiceStandin::start(options).await.unwrap();
        let url = format!("http://{}/orders/7", service.address());
        let builder = client().post(&*url).unwrap().header(CRASH_HEADER, "1").unwrap();
        assert!(builder.send().await.is_err());
        assert!(client().post(&*url).unwrap().send().await.is_err());
        assert_eq!(service.executions().without_key, 1);
    });
}

/// Checks the control endpoint of the store, and renewals that omit the time to live.
#[test]
fn store_is_controlled_over_http() {
    block_on(async {
        let standin = StoreStandin::start(any_address()).await.unwrap();
        let url = |path: &str| format!("http://{}{path}", standin.address());
        let lease = "/v1/leases?key=duty&holder=a&ttl_ms=60000";
        let granted = client().post(url(lease)).unwrap().send().await.unwrap();
        let granted: LeaseGrant = granted.json().await.unwrap();
        let renew = url(&format!("/v1/leases/{}/renew", granted.lease));
        let renewed = client().post(renew).unwrap().send().await.unwrap();
        assert_eq!(renewed.status(), StatusCode::OK);
        let held = client().post(url(lease)).unwrap().send().await.unwrap();
        assert_eq!(held.status(), StatusCode::CONFLICT);

        let faults = StoreFaults { outage: true, ..StoreFaults::default() };
        let set = send_json(Method::POST, standin.address(), "/control", &faults).await.unwrap();
        assert_eq!(set.status(), StatusCode::OK);
        let refused = client().get(url("/v1/kv/config")).unwrap().send().await.unwrap();
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        let counters: CallCounters = get_json(standin.address(), "/control").await;
        assert_eq!(counters, CallCounters { reads: 1, lease_calls: 3, ..CallCounters::default() });
    });
}

/// Guards against downloads beyond the rate limit, and against refusals without a `Retry-After` header.
#[test]
fn weight_store_refuses_over_the_rate() {
    block_on(async {
        let weights = WeightsStandin::start(WeightsOptions::default()).await.unwrap();
        let url = format!("http://{}/v1/weights/base", weights.address());
        let served = client().get(&*url).unwrap().send().await.unwrap();
        assert_eq!(served.bytes().await.unwrap().len(), 64 * 1024);
        let refused = client().get(&*url).unwrap().send().await.unwrap();
        assert_eq!(refused.status(), StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(refused.headers()["retry-after"], "1");
        assert_eq!((weights.counters().served, weights.counters().refused), (1, 1));
    });
}
