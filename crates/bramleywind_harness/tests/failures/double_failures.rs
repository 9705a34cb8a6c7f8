//! Two failures at the same time, and the same failure twice.

use std::time::Duration;

use bramleywind_harness::{SseEnd, wait_until};
use serde_json::json;

use crate::{
    account::{account, wait_for_spent},
    test_fleet::{
        BUDGET, PREPAID_TOKENS, RECLAIM_LIMIT, SHORT_OUTPUT_TOKENS, TestFleet, run,
        stream_and_kill_router, total_tokens,
    },
};

const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// How long a router keeps a slice that is not used before it returns the rest.
const SLICE_IDLE_TIME: Duration = Duration::from_secs(30);

#[test]
fn request_whose_routers_are_killed_twice_is_billed_once() {
    run(async {
        let mut test = TestFleet::start().await;
        for index in [1, 3] {
            let cut =
                stream_and_kill_router(&mut test, index, Some("script"), "write the tour", 300)
                    .await;
            assert_eq!(cut.end, SseEnd::Cut);
        }
        let (_, whole) = test.stream(5, Some("script"), "write the tour", 300, |_| ()).await;
        assert_eq!((whole.end, whole.chunks), (SseEnd::Done, 300));
        let billed = total_tokens(&whole.usage.unwrap());
        wait_for_spent(&test.fleet, BUDGET, billed, RECLAIM_LIMIT).await;
    });
}

#[test]
fn router_killed_during_an_outage_is_reclaimed_after_it() {
    run(async {
        let mut test = TestFleet::start().await;
        let mut billed = 0;
        for index in 0..6 {
            billed += total_tokens(
                &test.chat(index, None, "before", SHORT_OUTPUT_TOKENS).await.json()["usage"],
            );
        }
        test.set_store_faults(json!({ "outage": true })).await;
        let cut = stream_and_kill_router(&mut test, 2, Some("script"), "write the tour", 300).await;
        let (_, whole) = test.stream(4, Some("script"), "write the tour", 300, |_| ()).await;
        test.set_store_faults(json!({})).await;
        match (cut.end, whole.end) {
            (SseEnd::Cut, SseEnd::Done) => billed += total_tokens(&whole.usage.unwrap()),
            // The tokens that the routers hold may not suffice for the request. It is then refused and not billed.
            (_, SseEnd::Cut) => {}
            ends => panic!("{ends:?}"),
        }
        wait_for_spent(&test.fleet, BUDGET, billed, RECLAIM_LIMIT).await;
    });
}

/// A router and its witness in the same data centre are lost together. The tokens that they may have spent must stay
/// counted as spent.
#[test]
fn loss_of_a_data_centre_returns_no_spent_tokens() {
    run(async {
        let mut test = TestFleet::start().await;
        let mut billed = 0;
        for index in 0..6 {
            billed += total_tokens(
                &test.chat(index, None, "before", SHORT_OUTPUT_TOKENS).await.json()["usage"],
            );
        }
        let granted_to_lost: u64 = {
            let found = account(&test.fleet, BUDGET);
            let is_lost = |holder: &serde_json::Value| {
                (0..2).any(|index| json!(test.fleet.routers[index].plan.instance) == *holder)
            };
            let slices = found["slices"].as_array().cloned().unwrap_or_default();
            slices
                .iter()
                .filter(|slice| is_lost(&slice["holder"]))
                .filter_map(|slice| slice["granted"].as_u64())
                .sum()
        };
        for index in 0..2 {
            test.fleet.routers[index].process.kill();
        }
        for index in 2..6 {
            let answer = test.chat(index, None, "after", SHORT_OUTPUT_TOKENS).await;
            assert_eq!(answer.status, 200, "{:#}", answer.json());
            billed += total_tokens(&answer.json()["usage"]);
        }
        let settled = wait_until(
            "the other routers return their slices",
            SLICE_IDLE_TIME + WAIT_LIMIT,
            || async {
                let found = account(&test.fleet, BUDGET);
                let others_hold = found["in_slices"].as_u64()? - found["stranded"].as_u64()?;
                (others_hold == 0).then_some(found)
            },
        );
        let found = settled.await.unwrap();
        let available = found["available"].as_u64().unwrap();
        // No token that was spent, or that the lost routers may have spent, is available again.
        assert!(available <= PREPAID_TOKENS - billed, "{found:#}");
        assert!(available >= PREPAID_TOKENS - billed - granted_to_lost, "{found:#}");
    });
}

/// The router that holds a claim is killed after the call ran and before its response. A repeat must not run it again.
#[test]
fn unlock_of_killed_router_runs_once_and_is_never_reported_not_run() {
    run(async {
        let mut test = TestFleet::start().await;
        for locker in ["locker-1", "locker-2"] {
            let address = test.fleet.endpoint(locker).unwrap().address;
            test.fleet.set_faults(address, &json!({ "delay_ms": 3_000 })).await.unwrap();
        }
        let url = test.unlock_url(1);
        let caller = test.fleet.caller.clone();
        let first = compio::runtime::spawn(async move {
            let headers = [("authorization", "Bearer guides-key"), ("idempotency-key", "killed-1")];
            caller.post_json(&url, &headers, &json!({ "bay": 1 })).await
        });
        let has_run = || async { (test.executions("killed-1").await == 1).then_some(()) };
        wait_until("the call runs at a locker", WAIT_LIMIT, has_run).await.unwrap();
        test.fleet.routers[1].process.kill();
        drop(first.await);
        for index in [0, 3, 5] {
            let repeat = test.unlock(index, "killed-1", 1).await;
            assert_ne!(repeat.status, 200);
            assert_eq!(repeat.json()["error"]["ran"], "may_have_run", "{:#}", repeat.json());
        }
        assert_eq!(test.executions("killed-1").await, 1);
    });
}

/// A slow store must delay only the calls that need it.
#[test]
fn slow_store_fails_no_call() {
    run(async {
        let test = TestFleet::start().await;
        test.set_store_faults(json!({ "delay_ms": 400 })).await;
        for index in 0..6 {
            let answer = test.chat(index, None, "slow", SHORT_OUTPUT_TOKENS).await;
            assert_eq!(answer.status, 200, "{:#}", answer.json());
        }
        assert_eq!(test.unlock(2, "slow-1", 1).await.status, 200);
        assert_eq!(test.unlock(4, "slow-1", 1).await.status, 200);
        assert_eq!(test.executions("slow-1").await, 1);
    });
}
