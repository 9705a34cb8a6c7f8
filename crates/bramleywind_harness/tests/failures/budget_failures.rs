//! Guards the guarantees G1 and G2 when routers are killed or paused: no budget is overspent, and a request is billed
//! once.

use std::time::Duration;

use bramleywind_harness::{HttpCaller, ProcessSignal, SseEnd, wait_until};
use futures_util::future::join_all;

use crate::{
    account::{account, wait_for_spent},
    test_fleet::{
        BUDGET, PREPAID_TOKENS, RECLAIM_LIMIT, SHORT_OUTPUT_TOKENS, SMALL_BUDGET,
        SMALL_PREPAID_TOKENS, TestFleet, chat_body, header_refs, headers, run,
        stream_and_kill_router, total_tokens,
    },
};

/// How long the tests wait for a condition that needs no reclaim.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn killed_router_strands_nothing_and_its_request_is_billed_once() {
    run(async {
        let mut test = TestFleet::start().await;
        let cut = stream_and_kill_router(
            &mut test,
            1,
            Some("tour-script"),
            "write the tour of the ferry",
            300,
        )
        .await;
        assert_eq!(cut.end, SseEnd::Cut);

        let (_, whole) =
            test.stream(3, Some("tour-script"), "write the tour of the ferry", 300, |_| ()).await;
        assert_eq!(whole.end, SseEnd::Done);
        assert_eq!(whole.chunks, 300);
        let billed = total_tokens(&whole.usage.unwrap());
        wait_for_spent(&test.fleet, BUDGET, billed, RECLAIM_LIMIT).await;
    });
}

/// A request without a key may have run on the killed router, so its reservation stays spent. The rest of the router's
/// slice is reclaimed.
#[test]
fn killed_router_without_repeat_is_billed_its_reservation_only() {
    run(async {
        let mut test = TestFleet::start().await;
        let cut = stream_and_kill_router(&mut test, 0, None, "write it", 200).await;
        assert_eq!(cut.end, SseEnd::Cut);
        let settled = wait_until("the slice is reclaimed", RECLAIM_LIMIT, || async {
            let found = account(&test.fleet, BUDGET);
            let is_back =
                found["stranded"].as_u64() == Some(0) && found["in_slices"].as_u64() == Some(0);
            (is_back && found["spent"].as_u64()? > 0).then_some(found)
        });
        let found = settled.await.unwrap();
        let spent = found["spent"].as_u64().unwrap();
        // The reservation covers 200 output tokens and the estimate of a short prompt.
        assert!((200..=240).contains(&spent), "{found:#}");
    });
}

#[test]
fn router_resumed_after_its_reclaim_overspends_nothing() {
    run(async {
        let mut test = TestFleet::start().await;
        let mut billed = 0;
        for index in 0..6 {
            billed += total_tokens(
                &test.chat(index, None, "before", SHORT_OUTPUT_TOKENS).await.json()["usage"],
            );
        }
        test.fleet.routers[2].process.signal(ProcessSignal::Pause);
        wait_for_spent(&test.fleet, BUDGET, billed, RECLAIM_LIMIT).await;
        test.fleet.routers[2].process.signal(ProcessSignal::Continue);
        // The resumed router closes connections that were idle for too long, as any server does.
        test.fleet.caller = HttpCaller::new().unwrap();
        let mut answered = 0;
        let recovered = wait_until("the resumed router serves again", WAIT_LIMIT, || async {
            let answer = test.chat(2, None, "after", SHORT_OUTPUT_TOKENS).await;
            (answer.status == 200).then(|| total_tokens(&answer.json()["usage"]))
        });
        answered += recovered.await.unwrap();
        wait_for_spent(&test.fleet, BUDGET, billed + answered, RECLAIM_LIMIT).await;
    });
}

/// The last tokens of a budget are spread over six routers. Together they must pay for as many requests as a single
/// ledger would, and for no token more.
#[test]
fn small_budget_is_spent_to_its_end_through_six_routers_and_no_further() {
    run(async {
        let test = TestFleet::start().await;
        let headers = headers("guides-trial-key", None);
        let refs = header_refs(&headers);
        let body = chat_body("read it", 80, false);
        let mut billed = 0;
        let mut refused_at = Vec::new();
        for round in 0..12 {
            let urls: Vec<String> = (0..6).map(|index| test.chat_url(index)).collect();
            let calls = urls.iter().map(|url| test.fleet.caller.post_json(url, &refs, &body));
            for answer in join_all(calls).await {
                let answer = answer.unwrap();
                if answer.status == 200 {
                    billed += total_tokens(&answer.json()["usage"]);
                } else {
                    assert_eq!(
                        answer.json()["error"]["code"],
                        "budget_exhausted",
                        "{:#}",
                        answer.json()
                    );
                    assert_eq!(answer.json()["error"]["ran"], "not_run");
                    refused_at.push((round, billed));
                }
            }
        }
        assert!(billed <= SMALL_PREPAID_TOKENS, "{billed}");
        // A request reserves 80 output tokens and a few for its prompt, and six run at once.
        let max_request_tokens = 100;
        let (_, billed_at_first_refusal) = refused_at[0];
        assert!(
            billed_at_first_refusal + 6 * max_request_tokens >= SMALL_PREPAID_TOKENS,
            "{refused_at:?}"
        );
        assert!(billed + max_request_tokens >= SMALL_PREPAID_TOKENS, "{billed}");
        wait_for_spent(&test.fleet, SMALL_BUDGET, billed, RECLAIM_LIMIT).await;
    });
}

/// A partitioned data centre continues to spend its slices, and meanwhile the others must not reclaim any of them.
#[test]
fn partition_causes_no_overspend() {
    run(async {
        let test = TestFleet::start().await;
        let mut billed = 0;
        for index in 0..6 {
            billed += total_tokens(
                &test.chat(index, None, "before", SHORT_OUTPUT_TOKENS).await.json()["usage"],
            );
        }
        let instance = |index: usize| test.fleet.routers[index].plan.instance.to_string();
        let inside: Vec<String> = (0..2).map(instance).collect();
        let outside: Vec<String> = (2..6).map(instance).collect();
        for index in 0..6 {
            let others = if index < 2 { &outside } else { &inside };
            let faults = serde_json::json!({ "cut_to": others, "cut_from": others });
            test.fleet.operator_post(index, "/v1/faults", &faults).await.unwrap();
        }
        test.fleet
            .run_tool(&["budget", "top-up", BUDGET, "5000", "--operation-id", "during-partition"])
            .unwrap();
        for index in 0..6 {
            let answer = test.chat(index, None, "during", SHORT_OUTPUT_TOKENS).await;
            assert_eq!(answer.status, 200, "router {index}: {:#}", answer.json());
            billed += total_tokens(&answer.json()["usage"]);
        }
        for index in 0..6 {
            let faults = serde_json::json!({ "cut_to": [], "cut_from": [] });
            test.fleet.operator_post(index, "/v1/faults", &faults).await.unwrap();
        }
        wait_for_spent(&test.fleet, BUDGET, billed, RECLAIM_LIMIT).await;
        let found = account(&test.fleet, BUDGET);
        assert_eq!(found["topped_up"], 5_000);
        assert!(found["available"].as_u64().unwrap() <= PREPAID_TOKENS + 5_000 - billed);
    });
}

#[test]
fn repeated_top_up_adds_once() {
    run(async {
        let test = TestFleet::start().await;
        for _ in 0..3 {
            test.fleet
                .run_tool(&["budget", "top-up", BUDGET, "700", "--operation-id", "invoice-9"])
                .unwrap();
        }
        assert_eq!(account(&test.fleet, BUDGET)["topped_up"], 700);
    });
}
