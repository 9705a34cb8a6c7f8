//! Guards the work that must go on, and the refusals that must be true, while the store is down.

use std::time::{Duration, Instant};

use bramleywind_harness::wait_until;
use serde_json::json;

use crate::{
    account::wait_for_spent,
    test_fleet::{BUDGET, RECLAIM_LIMIT, SHORT, TestFleet, run, usage},
};

const SOON: Duration = Duration::from_secs(20);

/// How long a refusal may take that the store's outage causes. Callers must not be held until their deadline.
const REFUSAL_LIMIT: Duration = Duration::from_secs(5);

#[test]
fn idempotent_work_goes_on_and_unlocks_are_refused_truthfully() {
    run(async {
        let test = TestFleet::start().await;
        let mut billed = 0;
        for index in 0..6 {
            billed += usage(&test.chat(index, None, "before", SHORT).await.json()["usage"]);
        }
        test.set_store_faults(json!({ "outage": true })).await;
        for index in 0..6 {
            let answer = test.chat(index, None, "during", SHORT).await;
            assert_eq!(answer.status, 200, "router {index}: {:#}", answer.json());
            billed += usage(&answer.json()["usage"]);
        }
        let begun = Instant::now();
        let refusal = test.unlock(0, "outage-1", 1).await;
        assert!(begun.elapsed() < REFUSAL_LIMIT, "{:?}", begun.elapsed());
        assert_eq!(refusal.json()["error"]["code"], "claim_unavailable", "{:#}", refusal.json());
        // An earlier copy could have run through a router that is gone, so `not_run` would not always be true.
        assert_eq!(refusal.json()["error"]["ran"], "may_have_run");
        assert_eq!(refusal.json()["error"]["repeat"], "same_key");
        assert!(refusal.headers.contains_key("retry-after"));
        assert_eq!(test.executions("outage-1").await, 0);

        test.set_store_faults(json!({})).await;
        let repeated = wait_until("the unlock runs after the outage", SOON, || async {
            (test.unlock(3, "outage-1", 1).await.status == 200).then_some(())
        });
        repeated.await.unwrap();
        assert_eq!(test.executions("outage-1").await, 1);
        wait_for_spent(&test.fleet, BUDGET, billed + 1, RECLAIM_LIMIT).await;
    });
}

/// A router that has never reached the store pays by loans and knows the configuration from its peers.
#[test]
fn router_that_starts_during_an_outage_serves() {
    run(async {
        let mut test = TestFleet::start().await;
        for index in 0..6 {
            assert_eq!(test.chat(index, None, "before", SHORT).await.status, 200);
        }
        test.fleet.routers[5].process.kill();
        test.set_store_faults(json!({ "outage": true })).await;
        test.fleet.restart_router(5).unwrap();
        test.fleet.wait_until_up(5).await.unwrap();
        test.fleet.wait_for_revision(5, 1).await.unwrap();
        let served = wait_until("the restarted router serves", SOON, || async {
            (test.chat(5, None, "during", SHORT).await.status == 200).then_some(())
        });
        served.await.unwrap();
    });
}

/// The return of the store must not bring every router's waiting calls at once.
#[test]
fn return_of_the_store_brings_no_stampede() {
    run(async {
        let test = TestFleet::start().await;
        for index in 0..6 {
            assert_eq!(test.chat(index, None, "before", SHORT).await.status, 200);
        }
        test.set_store_faults(json!({ "outage": true })).await;
        for index in 0..6 {
            test.chat(index, None, "during", SHORT).await;
        }
        compio::time::sleep(Duration::from_secs(5)).await;
        test.set_store_faults(json!({})).await;
        let total = |counters: &serde_json::Value| -> u64 {
            let counts = counters.get("counters").unwrap_or(counters);
            ["reads", "writes", "lists", "lease_calls"]
                .iter()
                .filter_map(|kind| counts[*kind].as_u64())
                .sum()
        };
        let before = total(&test.fleet.store_counters().await.unwrap());
        compio::time::sleep(Duration::from_secs(1)).await;
        let after = total(&test.fleet.store_counters().await.unwrap());
        // Two calls a router and key in the first second: the configuration, the member record and the page.
        assert!(after - before <= 6 * 3 * 2, "{} calls in the first second", after - before);
    });
}
