use bramleywind_standins::{EngineOptions, ServiceFaults};
use bramleywind_store::StoreFaults;
use bramleywind_types::{RefusalCode, RepeatAdvice, RunState};
use compio::{buf::BufResult, io::AsyncRead, net::TcpListener, time::timeout};
use http::StatusCode;
use test_case::test_case;

use crate::harness::{
    ANY, FleetOptions, KEY, TEST_TIMEOUT, TestFleet, chat, chat_with, fast_engine, get, keyed,
    open, post, run_test, wait_until,
};

/// Guards against a second run or bill of a request that is repeated with its key during the first run or after it.
#[test_case(1, true; "streamed")]
#[test_case(1, false; "whole")]
#[test_case(2, true; "at another router")]
fn a_repeat_gets_the_first_outcome(routers: usize, stream: bool) {
    run_test(async move {
        let engine = EngineOptions { tokens_per_second: 200, ..fast_engine() };
        let options = FleetOptions { engines: vec![engine], routers, ..FleetOptions::default() };
        let fleet = TestFleet::start(options).await;
        let request = move || keyed(chat("sing it again", 40, stream), "song-1");
        let (first, last) = (fleet.caller(), fleet.routers[routers - 1].caller_address());
        let running =
            compio::runtime::spawn(async move { open(first, request()).await.complete().await });
        wait_until("the first runs", || fleet.engines[0].stats().requests_started == 1).await;
        let during = open(last, request()).await.complete().await;
        let original = running.await.unwrap();
        let after = open(last, request()).await.complete().await;
        assert_eq!(original.head.status, StatusCode::OK);
        for repeat in [during, after] {
            assert_eq!(repeat.body, original.body);
            assert_eq!(
                repeat.head.headers.get("content-type"),
                original.head.headers.get("content-type")
            );
        }
        assert_eq!(fleet.engines[0].stats().requests_received, 1);
        fleet.wait_until_idle().await;
        if routers == 1 {
            assert_eq!((fleet.spent(), fleet.reserved()), (3 + 40, 0));
        }
        let other = keyed(chat("sing another", 40, stream), "song-1");
        let refusal = open(last, other).await.complete().await.refusal();
        assert_eq!(refusal.code, RefusalCode::KeyReused);
        assert_eq!(fleet.engines[0].stats().requests_received, 1);
    });
}

/// Guards against a key that stays blocked after its caller disconnected.
#[test]
fn a_key_is_free_again_after_its_caller_left() {
    run_test(async {
        let engine = EngineOptions { tokens_per_second: 200, ..fast_engine() };
        let fleet =
            TestFleet::start(FleetOptions { engines: vec![engine], ..FleetOptions::default() })
                .await;
        let request = || keyed(chat("sing it again", 60, true), "song-2");
        let mut gone = open(fleet.caller(), request()).await;
        gone.next_chunk().await.unwrap();
        drop(gone);
        let repeat = open(fleet.caller(), request()).await.complete().await;
        assert_eq!(repeat.tokens().len(), 60);
        assert_eq!(fleet.engines[0].stats().requests_received, 2);
    });
}

fn executions(fleet: &TestFleet, key: &str) -> u64 {
    fleet.service.executions().executions.get(key).copied().unwrap_or_default()
}

/// Guards against an order that runs again for a concurrent or later copy of the request.
#[test_case(1; "one router")]
#[test_case(2; "two routers")]
fn an_order_runs_once_for_each_key(routers: usize) {
    run_test(async move {
        let fleet = TestFleet::start(FleetOptions { routers, ..FleetOptions::default() }).await;
        fleet.service.set_faults(ServiceFaults { delay_ms: 50, ..ServiceFaults::default() });
        let order = || keyed(post("/services/desk/orders/ribs", r#"{"ribs": 8}"#), "order-7");
        let copies: Vec<_> = (0..6)
            .map(|index| {
                let address = fleet.routers[index % routers].caller_address();
                compio::runtime::spawn(async move { open(address, order()).await.complete().await })
            })
            .collect();
        let mut bodies = Vec::new();
        for copy in copies {
            let answer = copy.await.unwrap();
            assert_eq!(answer.head.status, StatusCode::OK, "{}", answer.text());
            bodies.push(answer.body);
        }
        let later = open(fleet.caller(), order()).await.complete().await;
        bodies.push(later.body);
        assert!(bodies.iter().all(|body| *body == bodies[0]));
        assert!(bodies[0].starts_with(br#"{"method":"POST","path":"/orders/ribs""#));
        assert_eq!(executions(&fleet, "order-7"), 1);
        fleet.wait_until_idle().await;
        if routers == 1 {
            assert_eq!((fleet.spent(), fleet.reserved()), (10, 0));
        }
        let other = keyed(post("/services/desk/orders/ribs", r#"{"ribs": 9}"#), "order-7");
        let refusal = open(fleet.caller(), other).await.complete().await.refusal();
        assert_eq!(refusal.code, RefusalCode::KeyReused);
    });
}

/// Guards against an order that is sent again because its answer was lost.
#[test]
fn an_order_whose_answer_is_lost_is_not_sent_again() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        fleet.service.set_faults(ServiceFaults { lose_next: 1, ..ServiceFaults::default() });
        let order = || keyed(post("/services/desk/orders", "{}"), "order-8");
        let lost = open(fleet.caller(), order()).await.complete().await.refusal();
        assert_eq!((lost.code, lost.ran), (RefusalCode::EndpointFailed, RunState::MayHaveRun));
        let repeat = open(fleet.caller(), order()).await.complete().await.refusal();
        assert_eq!(repeat.code, RefusalCode::OutcomeUnknown);
        assert_eq!(executions(&fleet, "order-8"), 1);
    });
}

/// Guards against an order that is cancelled when its caller disconnects.
#[test]
fn an_order_is_carried_out_although_its_caller_leaves() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        fleet.service.set_faults(ServiceFaults { delay_ms: 200, ..ServiceFaults::default() });
        let order = || keyed(post("/services/desk/orders", "{}"), "order-9");
        let address = fleet.caller();
        let leaving = compio::runtime::spawn(async move {
            open(address, order()).await;
        });
        wait_until("the order runs", || executions(&fleet, "order-9") == 1).await;
        drop(leaving);
        let repeat = open(fleet.caller(), order()).await.complete().await;
        assert_eq!(repeat.head.status, StatusCode::OK);
        assert_eq!(executions(&fleet, "order-9"), 1);
    });
}

/// Guards against a wrong run state in a refusal, and against a refusal that persists after its cause is gone.
#[test]
fn an_order_that_did_not_run_may_be_repeated() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        fleet.service.set_faults(ServiceFaults { leaving: true, ..ServiceFaults::default() });
        let order = || keyed(post("/services/desk/orders", "{}"), "order-10");
        let refusal = open(fleet.caller(), order()).await.complete().await.refusal();
        assert_eq!((refusal.code, refusal.ran), (RefusalCode::NoEndpoint, RunState::NotRun));
        fleet.service.set_faults(ServiceFaults::default());
        let state = fleet.routers[0].state();
        // The service is back under the same name. The test clears its announcement, so that the router does not
        // wait for it to expire.
        state.admission.update_health(|health| *health = Default::default());
        let repeat = open(fleet.caller(), order()).await.complete().await;
        assert_eq!(repeat.head.status, StatusCode::OK, "{}", repeat.text());
        assert_eq!(executions(&fleet, "order-10"), 1);
    });
}

/// Guards against orders that run without a durable claim, and against a store outage that stops requests which
/// need no claim.
#[test]
fn a_store_outage_refuses_orders_and_nothing_else() {
    run_test(async {
        // The first request leaves most of its grant in the slice, which pays for requests during the outage.
        let engine = EngineOptions { stop_after: Some(10), ..fast_engine() };
        let fleet =
            TestFleet::start(FleetOptions { engines: vec![engine], ..FleetOptions::default() })
                .await;
        let warm = open(fleet.caller(), chat("warm up", 200, true)).await.complete().await;
        assert_eq!(warm.tokens().len(), 10);
        fleet.wait_until_idle().await;
        fleet.store.store().set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
        let order = keyed(post("/services/desk/orders", "{}"), "order-11");
        let refusal = open(fleet.caller(), order).await.complete().await.refusal();
        // An earlier copy could have run at another router, so `not_run` could be wrong.
        assert_eq!(
            (refusal.code, refusal.ran),
            (RefusalCode::ClaimUnavailable, RunState::MayHaveRun)
        );
        assert_eq!(refusal.repeat, RepeatAdvice::SameKey);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(executions(&fleet, "order-11"), 0);
        let answer = open(fleet.caller(), chat("go on", 5, true)).await.complete().await;
        assert_eq!(answer.tokens().len(), 5);
    });
}

/// Guards against spending beyond the credit, and against a refusal that does not report `not_run`.
#[test_case(None; "without a key")]
#[test_case(Some("song-3"); "with a key")]
fn an_exhausted_budget_is_refused_as_not_run(key: Option<&'static str>) {
    run_test(async move {
        let fleet = TestFleet::start(FleetOptions { credit: 100, ..FleetOptions::default() }).await;
        let request = |tokens| match key {
            Some(key) => keyed(chat("ab", tokens, true), &format!("{key}-{tokens}")),
            None => chat("ab", tokens, true),
        };
        let answer = open(fleet.caller(), request(60)).await.complete().await;
        assert_eq!(answer.tokens().len(), 60);
        fleet.wait_until_idle().await;
        assert_eq!(fleet.spent(), 61);
        let refusal = open(fleet.caller(), request(50)).await.complete().await.refusal();
        assert_eq!((refusal.code, refusal.ran), (RefusalCode::BudgetExhausted, RunState::NotRun));
        assert_eq!(refusal.repeat, RepeatAdvice::AfterDelay);
        let small = open(fleet.caller(), request(30)).await.complete().await;
        assert_eq!(small.tokens().len(), 30);
        fleet.wait_until_idle().await;
        assert_eq!((fleet.spent(), fleet.reserved()), (92, 0));
    });
}

/// Guards against an order that cannot be repeated after it was refused for lack of funds.
#[test]
fn an_order_that_the_budget_cannot_pay_for_is_not_run() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions { credit: 9, ..FleetOptions::default() }).await;
        for _ in 0..2 {
            let order = keyed(post("/services/desk/orders", "{}"), "order-12");
            let refusal = open(fleet.caller(), order).await.complete().await.refusal();
            assert_eq!(
                (refusal.code, refusal.ran),
                (RefusalCode::BudgetExhausted, RunState::NotRun)
            );
        }
        assert_eq!(executions(&fleet, "order-12"), 0);
    });
}

/// Guards against a service that sees the caller's key, and against a caller that does not get the service's answer.
#[test]
fn an_idempotent_call_is_forwarded_and_its_error_returned() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        let answer = open(fleet.caller(), get("/services/desk/stock?item=ribs", KEY)).await;
        let answer = answer.complete().await;
        assert_eq!(answer.head.status, StatusCode::OK);
        assert!(answer.text().contains(r#""path":"/stock""#), "{}", answer.text());
        fleet.service.set_faults(ServiceFaults { fail_next: 1, ..ServiceFaults::default() });
        let failed = open(fleet.caller(), get("/services/desk/stock", KEY)).await.complete().await;
        // The error status of a service is passed on as its answer.
        assert_eq!(failed.head.status, StatusCode::INTERNAL_SERVER_ERROR);
        fleet.wait_until_idle().await;
        assert_eq!((fleet.spent(), fleet.reserved()), (20, 0));
    });
}

/// Guards against a second run of a request whose caller disconnected after an engine had received it and before
/// the engine answered.
#[test]
fn a_request_that_an_engine_has_counts_as_run() {
    run_test(async {
        let listener = TcpListener::bind(ANY).await.unwrap();
        let options = FleetOptions {
            engines: Vec::new(),
            external_engines: vec![listener.local_addr().unwrap()],
            ..FleetOptions::default()
        };
        let fleet = TestFleet::start(options).await;
        let address = fleet.caller();
        let request = || keyed(chat_with("weave-once", "order a part", 50, true), "order-13");
        let caller = compio::runtime::spawn(async move {
            open(address, request()).await;
        });
        let mut received = Vec::new();
        let mut connections = Vec::new();
        while !received.ends_with(b"}") {
            // Load polls arrive on separate connections.
            let (mut stream, _) = timeout(TEST_TIMEOUT, listener.accept()).await.unwrap().unwrap();
            let BufResult(read, bytes) = stream.read(Vec::with_capacity(8_192)).await;
            read.unwrap();
            received = bytes;
            connections.push(stream);
        }
        drop(caller);
        fleet.wait_until_idle().await;
        let repeat = open(fleet.caller(), request()).await.complete().await.refusal();
        assert_eq!((repeat.code, repeat.ran), (RefusalCode::OutcomeUnknown, RunState::MayHaveRun));
        // The engine may have processed the prompt: 14 bytes of JSON at 3 bytes per token, and 4 per message.
        assert_eq!((fleet.spent(), fleet.reserved()), (5 + 4, 0));
    });
}

/// Guards against an error that is replayed although a repeated call could succeed.
#[test]
fn an_error_of_an_idempotent_call_is_not_replayed() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        fleet.service.set_faults(ServiceFaults { fail_next: 1, ..ServiceFaults::default() });
        let call = || keyed(get("/services/desk/stock", KEY), "stock-1");
        let failed = open(fleet.caller(), call()).await.complete().await;
        assert_eq!(failed.head.status, StatusCode::INTERNAL_SERVER_ERROR);
        let repeat = open(fleet.caller(), call()).await.complete().await;
        assert_eq!(repeat.head.status, StatusCode::OK);
        let replayed = open(fleet.caller(), call()).await.complete().await;
        assert_eq!(replayed.body, repeat.body);
        assert_eq!(executions(&fleet, "stock-1"), 2);
    });
}

/// Guards against spending beyond the credit, and against refusals before it is used up, when a caller uses all
/// routers in turn.
#[test]
fn a_budget_can_be_used_up_across_all_routers() {
    run_test(async {
        let options = FleetOptions { credit: 1_000, routers: 3, ..FleetOptions::default() };
        let fleet = TestFleet::start(options).await;
        let mut served = 0;
        for router in fleet.routers.iter().cycle() {
            // Each request reserves 8 + 30 tokens and is billed 3 + 30.
            let answer = open(router.caller_address(), chat("abc defg h", 30, true)).await;
            let answer = answer.complete().await;
            if answer.head.status != StatusCode::OK {
                assert_eq!(answer.refusal().code, RefusalCode::BudgetExhausted);
                break;
            }
            assert_eq!(answer.tokens().len(), 30);
            served += 1;
            fleet.wait_until_idle().await;
        }
        // A single exact ledger would serve 30, with 43 tokens left before the last request and 10 after it.
        assert_eq!(served, 30);
    });
}
