//! Guards the guarantees G4 and G5: a non-idempotent call runs at most once, and a call that is reported as `not_run`
//! did not run.

use std::time::Duration;

use bramleywind_harness::{ProcessSignal, wait_until};
use futures_util::future::join_all;
use serde_json::json;

use crate::test_fleet::{TestFleet, run};

const WAIT_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn copies_through_all_routers_at_once_run_once() {
    run(async {
        let test = TestFleet::start().await;
        let answers = join_all((0..6).map(|index| test.unlock(index, "bay-7", 7))).await;
        assert_eq!(test.executions("bay-7").await, 1);
        let succeeded = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(succeeded >= 1);
        for answer in answers.iter().filter(|answer| answer.status != 200) {
            // The bay was unlocked, so no copy of the call may be reported as not run.
            assert_eq!(answer.json()["error"]["ran"], "may_have_run", "{:#}", answer.json());
        }
    });
}

#[test]
fn different_body_under_one_key_is_refused() {
    run(async {
        let test = TestFleet::start().await;
        assert_eq!(test.unlock(0, "bay-8", 8).await.status, 200);
        let answer = test.unlock(4, "bay-8", 9).await;
        assert_eq!(answer.json()["error"]["code"], "key_reused");
        assert_eq!(test.executions("bay-8").await, 1);
    });
}

/// Guards against a second execution after the store's responses to the writes of several claims are lost, although the
/// writes took effect.
#[test]
fn lost_store_responses_cause_no_second_unlock() {
    run(async {
        let test = TestFleet::start().await;
        test.set_store_faults(json!({ "lose_answers": 3 })).await;
        for attempt in 0..6 {
            for bay in 0..3 {
                let key = format!("lost-{bay}");
                test.unlock((attempt + bay as usize) % 6, &key, bay).await;
            }
        }
        test.set_store_faults(json!({})).await;
        for bay in 0..3 {
            let executions = test.executions(&format!("lost-{bay}")).await;
            assert!(executions <= 1, "bay {bay} was unlocked {executions} times");
        }
    });
}

/// Guards against a claim that is written after its writer timed out: the call must not run by itself after it was
/// reported as `not_run`.
#[test]
fn late_claim_write_runs_nothing_after_not_run() {
    run(async {
        let test = TestFleet::start().await;
        test.set_store_faults(json!({ "apply_late_ms": 1_500 })).await;
        let answer = test.unlock(0, "late-1", 1).await;
        assert_ne!(answer.status, 200);
        let was_reported_not_run = answer.json()["error"]["ran"] == "not_run";
        test.set_store_faults(json!({})).await;
        let final_answer = wait_until("a repeat has a final answer", WAIT_LIMIT, || async {
            let answer = test.unlock(3, "late-1", 1).await;
            let error = answer.json()["error"].clone();
            (answer.status == 200 || error["repeat"] == "never").then_some(answer)
        });
        final_answer.await.unwrap();
        let executions = test.executions("late-1").await;
        assert!(executions <= 1, "{executions}");
        // If the response was `not_run`, repeating the call must run it exactly once.
        assert!(!was_reported_not_run || executions == 1, "{executions}");
    });
}

/// Guards against a second execution when the router that holds a claim is paused before its response, and the caller
/// repeats the call at another router.
#[test]
fn paused_claim_holder_runs_call_at_most_once() {
    run(async {
        let mut test = TestFleet::start().await;
        for locker in ["locker-1", "locker-2"] {
            let address = test.fleet.endpoint(locker).unwrap().address;
            test.fleet.set_faults(address, &json!({ "delay_ms": 2_000 })).await.unwrap();
        }
        let url = test.unlock_url(1);
        let caller = test.fleet.caller.clone();
        let body = json!({ "bay": 3 });
        let first = async move {
            let headers = [("authorization", "Bearer guides-key"), ("idempotency-key", "paused-3")];
            caller.post_json(&url, &headers, &body).await
        };
        let first = compio::runtime::spawn(first);
        let has_run = || async { (test.executions("paused-3").await == 1).then_some(()) };
        wait_until("the call runs at a locker", WAIT_LIMIT, has_run).await.unwrap();
        test.fleet.routers[1].process.signal(ProcessSignal::Pause);
        let repeat = test.unlock(4, "paused-3", 3).await;
        test.fleet.routers[1].process.signal(ProcessSignal::Continue);
        drop(first.await);
        assert_eq!(test.executions("paused-3").await, 1);
        if repeat.status != 200 {
            assert_eq!(repeat.json()["error"]["ran"], "may_have_run", "{:#}", repeat.json());
        }
    });
}
