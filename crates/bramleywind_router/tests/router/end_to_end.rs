use bramleywind_types::TokenCount;
use http::StatusCode;
use test_case::test_case;

use crate::harness::{
    FleetOptions, KEY, MODEL, TOKEN, TestFleet, chat, exact_bill, get, open, run_test, wait_until,
};

/// Guards against answers that lose tokens, and against a bill that differs from the reported usage.
#[test_case(true; "streamed")]
#[test_case(false; "whole")]
fn an_answer_arrives_complete_and_is_billed(stream: bool) {
    run_test(async move {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        let answer = open(fleet.caller(), chat("count the ribs please", 40, stream)).await;
        let answer = answer.complete().await;
        if stream {
            assert_eq!(answer.tokens().len(), 40);
        } else {
            let json: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(json["usage"]["completion_tokens"], 40);
            assert!(!json["choices"][0]["message"]["content"].as_str().unwrap().is_empty());
        }
        fleet.wait_until_idle().await;
        assert_eq!(TokenCount(fleet.spent()), exact_bill(4, 40));
        assert_eq!(fleet.reserved(), 0);
    });
}

/// Guards against lookups that need more than the router's own state, and against models shown to a workspace that
/// may not use them.
#[test]
fn lookups_are_answered_without_the_store() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        let models = open(fleet.caller(), get("/v1/models", KEY)).await.complete().await;
        assert!(models.text().contains(MODEL));
        assert!(!models.text().contains("weave-large"));
        let entries = open(fleet.caller(), get("/v1/entries", KEY)).await.complete().await;
        assert!(entries.text().contains(&fleet.caller().to_string()));
        let health = open(fleet.caller(), get("/healthz", KEY)).await.complete().await;
        assert_eq!(health.head.status, StatusCode::OK);
    });
}

/// Guards against an operator port that accepts keys of callers, and against secrets in its responses.
#[test]
fn the_operator_port_requires_its_token() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        let address = fleet.routers[0].operator_address();
        for path in ["/v1/status", "/v1/dump", "/metrics", "/v1/balance/spring-season"] {
            let refused = open(address, get(path, KEY)).await.complete().await;
            assert_eq!(refused.refusal().status(), 401);
        }
        let done = open(fleet.caller(), chat("one two", 3, true)).await.complete().await;
        assert_eq!(done.tokens().len(), 3);
        fleet.wait_until_idle().await;
        for path in ["/v1/status", "/v1/dump", "/metrics", "/v1/balance/spring-season"] {
            let answer = open(address, get(path, TOKEN)).await.complete().await;
            assert_eq!(answer.head.status, StatusCode::OK, "{path}: {}", answer.text());
            assert!(!answer.text().contains(TOKEN) && !answer.text().contains(KEY));
        }
        wait_until("the request is billed", || fleet.spent() == 5).await;
    });
}
