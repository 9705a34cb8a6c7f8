use std::{collections::BTreeSet, time::Duration};

use bramleywind_router::RequestLimits;
use bramleywind_standins::{EngineFaults, EngineOptions, UsageFault};
use bramleywind_types::{RefusalCode, RepeatAdvice, RunState};
use http::StatusCode;
use test_case::test_case;

use crate::harness::{
    FleetOptions, TestFleet, chat, chat_with, contents, fast_engine, keyed, open,
    open_with_small_buffer, run_test, wait_until,
};

/// Returns options for an engine slow enough for a test to act during an answer.
fn slow_engine() -> EngineOptions {
    EngineOptions { tokens_per_second: 200, ..fast_engine() }
}

fn two_slow_engines() -> FleetOptions {
    FleetOptions { engines: vec![slow_engine(), slow_engine()], ..FleetOptions::default() }
}

/// Waits until an engine runs the only request, and returns its index.
async fn busy_engine(fleet: &TestFleet) -> usize {
    let busy = || fleet.engines.iter().position(|engine| engine.stats().requests_started > 0);
    wait_until("an engine runs the request", || busy().is_some()).await;
    busy().unwrap()
}

/// Guards against engine time and tokens that are spent on callers that have disconnected.
#[test]
fn a_caller_that_goes_away_cancels_the_engine_and_is_billed_once() {
    run_test(async {
        let fleet = TestFleet::start(FleetOptions {
            engines: vec![slow_engine()],
            ..FleetOptions::default()
        })
        .await;
        let mut answer = open(fleet.caller(), chat("hum a tune", 2_000, true)).await;
        answer.next_chunk().await.unwrap();
        drop(answer);
        wait_until("the engine is cancelled", || fleet.engines[0].stats().requests_cancelled == 1)
            .await;
        fleet.wait_until_idle().await;
        let generated = fleet.engines[0].stats().tokens_generated;
        let estimate = 8;
        assert!(fleet.spent() > estimate && fleet.spent() <= estimate + generated);
        assert_eq!(fleet.reserved(), 0);
    });
}

/// Guards against a request that keeps running although its caller disconnected before the first token.
#[test_case(true; "streamed")]
#[test_case(false; "whole")]
fn a_caller_that_leaves_before_the_answer_cancels_the_engine(stream: bool) {
    run_test(async move {
        let engine = EngineOptions { tokens_per_second: 50, slots: 1, ..fast_engine() };
        let fleet =
            TestFleet::start(FleetOptions { engines: vec![engine], ..FleetOptions::default() })
                .await;
        fleet.engines[0].set_faults(EngineFaults { stalled: true, ..EngineFaults::default() });
        let address = fleet.caller();
        let running = compio::runtime::spawn(async move {
            open(address, chat("wait for it", 2_000, stream)).await;
        });
        wait_until("the request runs", || fleet.engines[0].stats().requests_started == 1).await;
        let queued = compio::runtime::spawn(async move {
            open(address, chat("wait for the other", 2_000, stream)).await;
        });
        wait_until("the second waits", || fleet.routers[0].state().admission.waiting() == 1).await;
        drop(queued);
        drop(running);
        wait_until("the engine is cancelled", || fleet.engines[0].stats().requests_cancelled == 1)
            .await;
        fleet.wait_until_idle().await;
        // The prompt of the first request is billed. The second request never reached an engine.
        assert_eq!(fleet.engines[0].stats().requests_received, 1);
        assert_eq!((fleet.spent(), fleet.reserved()), (9, 0));
    });
}

/// Guards against a slow reader that blocks other callers or keeps an engine busy indefinitely.
#[test]
fn a_caller_that_stops_reading_is_disconnected_and_blocks_no_one() {
    run_test(async {
        let limits = |limits: &mut RequestLimits| limits.write_time = Duration::from_millis(300);
        let engine = EngineOptions { tokens_per_second: 20_000, ..fast_engine() };
        let options = FleetOptions { engines: vec![engine], limits, ..FleetOptions::default() };
        let fleet = TestFleet::start(options).await;
        let idle = open_with_small_buffer(fleet.caller(), chat("on and on", 50_000, true)).await;
        let other = open(fleet.caller(), chat("just a word", 20, true)).await.complete().await;
        assert_eq!(other.tokens().len(), 20);
        fleet.wait_until_idle().await;
        assert!(
            fleet.spent() < 50_000,
            "tokens that were never read are billed: {}",
            fleet.spent()
        );
        assert_eq!(fleet.reserved(), 0);
        drop(idle);
    });
}

/// Guards against tokens that are lost, repeated or billed twice when an engine dies.
#[test_case(true; "streamed")]
#[test_case(false; "whole")]
fn an_answer_is_resumed_when_its_engine_dies(stream: bool) {
    run_test(async move {
        let fleet = TestFleet::start(two_slow_engines()).await;
        let request = move || chat("tell it to the end", 60, stream);
        let reference = open(fleet.engines[1].address(), chat("tell it to the end", 60, true));
        let reference = contents(reference.await.complete().await.text());
        assert_eq!(reference.len(), 60);
        let address = fleet.caller();
        let caller =
            compio::runtime::spawn(async move { open(address, request()).await.complete().await });
        wait_until("an engine runs the request", || {
            fleet.engines.iter().map(|engine| engine.stats().requests_started).sum::<u64>() == 2
        })
        .await;
        let busy = usize::from(fleet.engines[0].stats().requests_started == 0);
        let die_after_tokens = Some(20);
        fleet.engines[busy]
            .set_faults(EngineFaults { die_after_tokens, ..EngineFaults::default() });
        let answer = caller.await.unwrap();
        assert_eq!(fleet.engines[busy].stats().crashes, 1);
        let text = if stream {
            answer.tokens().concat()
        } else {
            let json: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            json["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
        };
        assert_eq!(text, reference.concat());
        fleet.wait_until_idle().await;
        assert_eq!((fleet.spent(), fleet.reserved()), (5 + 60, 0));
        assert_eq!(fleet.routers[0].state().metrics.resumes.get(), 1);
    });
}

/// Guards against resuming a request that may not run twice, and against a truncated answer that looks complete.
#[test]
fn a_request_that_may_not_run_twice_ends_with_an_error_event() {
    run_test(async {
        let fleet = TestFleet::start(two_slow_engines()).await;
        let request = keyed(chat_with("weave-once", "order a part", 500, true), "order-1");
        let mut answer = open(fleet.caller(), request).await;
        answer.next_chunk().await.unwrap();
        let busy = busy_engine(&fleet).await;
        fleet.engines[busy]
            .set_faults(EngineFaults { die_after_tokens: Some(5), ..EngineFaults::default() });
        let rest = answer.complete().await;
        assert!(rest.text().contains("event: error\ndata: {\"error\":{"), "{}", rest.text());
        assert!(
            rest.text().contains("\"ran\":\"may_have_run\"") && !rest.text().contains("[DONE]")
        );
        fleet.wait_until_idle().await;
        let other = &fleet.engines[1 - busy];
        assert_eq!(other.stats().requests_received, 0);
        // A repeat with the same key is told that the first request may have run.
        let request = keyed(chat_with("weave-once", "order a part", 500, true), "order-1");
        let repeat = open(fleet.caller(), request).await.complete().await.refusal();
        assert_eq!(repeat.code, RefusalCode::OutcomeUnknown);
        assert_eq!(other.stats().requests_received, 0);
    });
}

/// The estimated tokens of a prompt of ten characters: 12 bytes of JSON at 3 bytes per token, and 4 per message.
const ESTIMATE: u64 = 12 / 3 + 4;

/// Guards against bills above the reservation or below the delivered tokens, and against unbilled answers without a
/// usage report.
#[test_case(UsageFault::Exact, 3 + 40; "exact")]
#[test_case(UsageFault::None, ESTIMATE + 40; "none")]
#[test_case(UsageFault::TooLittle, ESTIMATE + 40; "too little")]
#[test_case(UsageFault::TooMuch, ESTIMATE + 50; "too much")]
fn a_wrong_usage_report_is_not_trusted(usage: UsageFault, bill: u64) {
    run_test(async move {
        let engine = EngineOptions { stop_after: Some(40), ..fast_engine() };
        let fleet =
            TestFleet::start(FleetOptions { engines: vec![engine], ..FleetOptions::default() })
                .await;
        fleet.engines[0].set_faults(EngineFaults { usage, ..EngineFaults::default() });
        let answer = open(fleet.caller(), chat("a b cdefgh", 50, true)).await.complete().await;
        assert_eq!(answer.tokens().len(), 40);
        fleet.wait_until_idle().await;
        assert_eq!((fleet.spent(), fleet.reserved()), (bill, 0));
    });
}

/// Guards against a failing or leaving engine that affects callers while another engine is healthy.
#[test_case(EngineFaults { leaving: true, ..EngineFaults::default() }; "leaving")]
#[test_case(EngineFaults { fail_next: 100, ..EngineFaults::default() }; "failing")]
fn another_engine_takes_over(faults: EngineFaults) {
    run_test(async move {
        let options =
            FleetOptions { engines: vec![fast_engine(), fast_engine()], ..FleetOptions::default() };
        let fleet = TestFleet::start(options).await;
        fleet.engines[0].set_faults(faults);
        for _ in 0..3 {
            let answer = open(fleet.caller(), chat("is anyone in", 5, true)).await.complete().await;
            assert_eq!(answer.tokens().len(), 5);
        }
        fleet.wait_until_idle().await;
        assert_eq!(fleet.spent(), 3 * (3 + 5));
    });
}

/// Guards against a request that waits although no engine can accept it, and against a wrong `not_run`.
#[test_case(EngineFaults { leaving: true, ..EngineFaults::default() }, RefusalCode::NoEndpoint, RunState::NotRun; "all leave")]
#[test_case(EngineFaults { fail_next: 100, ..EngineFaults::default() }, RefusalCode::EndpointFailed, RunState::MayHaveRun; "all fail")]
fn a_request_that_no_engine_takes_is_refused_at_once(
    faults: EngineFaults,
    code: RefusalCode,
    ran: RunState,
) {
    run_test(async move {
        let fleet = TestFleet::start(FleetOptions::default()).await;
        fleet.engines[0].set_faults(faults);
        let refusal =
            open(fleet.caller(), chat("is anyone in", 5, true)).await.complete().await.refusal();
        assert_eq!((refusal.code, refusal.ran), (code, ran));
        assert_eq!(refusal.repeat, RepeatAdvice::AfterDelay);
        fleet.wait_until_idle().await;
        assert_eq!((fleet.spent(), fleet.reserved()), (0, 0));
    });
}

/// Guards against a request that crashes one engine after another.
#[test]
fn a_crashing_request_takes_down_two_engines_at_most() {
    run_test(async {
        let engine = || EngineOptions { crash_marker: Some("poison".into()), ..fast_engine() };
        let engines = (0..4).map(|_| engine()).collect();
        let fleet = TestFleet::start(FleetOptions { engines, ..FleetOptions::default() }).await;
        for _ in 0..3 {
            let answer = open(fleet.caller(), chat("poison", 5, true)).await.complete().await;
            let refusal = answer.refusal();
            assert_eq!(refusal.code, RefusalCode::CrashSuspect);
            assert_eq!((refusal.ran, refusal.repeat), (RunState::MayHaveRun, RepeatAdvice::Never));
        }
        let crashes: u64 = fleet.engines.iter().map(|engine| engine.stats().crashes).sum();
        assert_eq!(crashes, 2);
        let bystander = open(fleet.caller(), chat("harmless", 5, true)).await.complete().await;
        assert_eq!(bystander.tokens().len(), 5);
    });
}

/// Guards against requests from a crashed engine that are retried together on another engine.
#[test]
fn bystanders_of_a_crash_get_their_answers() {
    run_test(async {
        let engine =
            |slots| EngineOptions { crash_marker: Some("poison".into()), slots, ..slow_engine() };
        let engines = (0..5).map(|_| engine(4)).collect();
        let fleet = TestFleet::start(FleetOptions { engines, ..FleetOptions::default() }).await;
        let address = fleet.caller();
        let bystanders: Vec<_> = (0..5)
            .map(|index| {
                let request = chat(&format!("bystander {index}"), 100, true);
                compio::runtime::spawn(async move { open(address, request).await.complete().await })
            })
            .collect();
        wait_until("all engines are busy", || {
            fleet.engines.iter().all(|engine| engine.stats().requests_started > 0)
        })
        .await;
        let crash_suspect = open(address, chat("poison", 5, true)).await.complete().await;
        assert_eq!(crash_suspect.refusal().code, RefusalCode::CrashSuspect);
        let mut texts = BTreeSet::new();
        for bystander in bystanders {
            let answer = bystander.await.unwrap();
            assert_eq!(answer.tokens().len(), 100);
            texts.insert(answer.tokens().concat());
        }
        assert_eq!(texts.len(), 5, "callers got each other's answers");
    });
}

/// Guards against new requests to endpoints that the instance list marks as leaving.
#[test]
fn a_marked_engine_gets_no_new_work() {
    run_test(async {
        let options =
            FleetOptions { engines: vec![fast_engine(), fast_engine()], ..FleetOptions::default() };
        let fleet = TestFleet::start(options).await;
        fleet.mark_leaving("engine-0", fleet.engines[0].address());
        let state = fleet.routers[0].state();
        wait_until("the mark was seen", || {
            state.admission.is_leaving(&"engine-0".parse().unwrap())
        })
        .await;
        for _ in 0..4 {
            let answer = open(fleet.caller(), chat("who is left", 5, true)).await.complete().await;
            assert_eq!(answer.head.status, StatusCode::OK);
        }
        assert_eq!(fleet.engines[0].stats().requests_received, 0);
    });
}
