//! Tests outages of the store: idempotent work must continue, and refusals must state truthfully whether a call ran.

use std::time::{Duration, Instant};

use bramleywind_harness::wait_until;
use serde_json::json;

use crate::{
    account::wait_for_spent,
    test_fleet::{BUDGET, RECLAIM_LIMIT, SHORT_OUTPUT_TOKENS, TestFleet, run, total_tokens},
};

const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// How long a refusal that is caused by the outage may take. Callers must not be kept waiting until their deadline.
const REFUSAL_LIMIT: Duration = Duration::from_secs(5);

#[test]
fn idempotent_work_continues_and_unlocks_are_refused_truthfully() {
    run(async {
        let test = TestFleet::start().await;
        let mut billed = 0;
        for index in 0..6 {
            billed += total_tokens(
                &test.chat(index, None, "before", SHORT_OUTPUT_TOKENS).await.json()["usage"],
            );
        }
        test.set_store_faults(json!({ "outage": true })).await;
        for index in 0..6 {
            let answer = test.chat(index, None, "during", SHORT_OUTPUT_TOKENS).await;
            assert_eq!(answer.status, 200, "router {index}: {:#}", answer.json());
            billed += total_tokens(&answer.json()["usage"]);
        }
        let started = Instant::now();
        let refusal = test.unlock(0, "outage-1", 1).await;
        assert!(started.elapsed() < REFUSAL_LIMIT, "{:?}", started.elapsed());
        assert_eq!(refusal.json()["error"]["code"], "claim_unavailable", "{:#}", refusal.json());
        // An earlier copy of the call may have run through a router that is gone, so `not_run` would not always be true.
        assert_eq!(refusal.json()["error"]["ran"], "may_have_run");
        assert_eq!(refusal.json()["error"]["repeat"], "same_key");
        assert!(refusal.headers.contains_key("retry-after"));
        assert_eq!(test.executions("outage-1").await, 0);

        test.set_store_faults(json!({})).await;
        let repeated = wait_until("the unlock runs after the outage", WAIT_LIMIT, || async {
            (test.unlock(3, "outage-1", 1).await.status == 200).then_some(())
        });
        repeated.await.unwrap();
        assert_eq!(test.executions("outage-1").await, 1);
        wait_for_spent(&test.fleet, BUDGET, billed + 1, RECLAIM_LIMIT).await;
    });
}

/// A router that has not reached the store since its start pays with loans and gets the configuration from its peers.
#[test]
fn router_that_starts_during_an_outage_serves() {
    run(async {
        let mut test = TestFleet::start().await;
        for index in 0..6 {
            assert_eq!(test.chat(index, None, "before", SHORT_OUTPUT_TOKENS).await.status, 200);
        }
        test.fleet.routers[5].process.kill();
        test.set_store_faults(json!({ "outage": true })).await;
        test.fleet.restart_router(5).unwrap();
        test.fleet.wait_until_up(5).await.unwrap();
        test.fleet.wait_for_revision(5, 1).await.unwrap();
        let served = wait_until("the restarted router serves", WAIT_LIMIT, || async {
            (test.chat(5, None, "during", SHORT_OUTPUT_TOKENS).await.status == 200).then_some(())
        });
        served.await.unwrap();
    });
}

/// Guards against a burst of calls to the store when it returns after an outage.
#[test]
fn return_of_the_store_causes_no_burst_of_calls() {
    run(async {
        let test = TestFleet::start().await;
        for index in 0..6 {
            assert_eq!(test.chat(index, None, "before", SHORT_OUTPUT_TOKENS).await.status, 200);
        }
        test.set_store_faults(json!({ "outage": true })).await;
        for index in 0..6 {
            test.chat(index, None, "during", SHORT_OUTPUT_TOKENS).await;
        }
        compio::time::sleep(Duration::from_secs(5)).await;
        test.set_store_faults(json!({})).await;
        let total_calls = |counters: &serde_json::Value| -> u64 {
            let counts = counters.get("counters").unwrap_or(counters);
            ["reads", "writes", "lists", "lease_calls"]
                .iter()
                .filter_map(|kind| counts[*kind].as_u64())
                .sum()
        };
        let before = total_calls(&test.fleet.store_counters().await.unwrap());
        compio::time::sleep(Duration::from_secs(1)).await;
        let after = total_calls(&test.fleet.store_counters().await.unwrap());
        // Six routers may each make two calls per key in the first second, for the three keys of the configuration, the
        // member record and the page.
        assert!(after - before <= 6 * 3 * 2, "{} calls in the first second", after - before);
    });
}
