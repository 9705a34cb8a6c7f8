//! Tests of the pure decisions, which need no socket.

#![allow(clippy::unwrap_used, reason = "helpers fail a test by panicking")]

use std::time::{Duration, Instant};

use bramleywind_config::KeyHash;
use bramleywind_router::{
    AnswerEnding, AttemptFailure, BillDecision, BillInput, BilledRepeat, ChatRequest, DrainPhase,
    DrainState, EngineEvent, EventScanner, MAX_ATTEMPTS, RepeatTracker, ReportedUsage,
    RetryDecision, RetryInput, bearer_key, decide_bill, decide_retry, end_to_end_headers,
    entry_weight, find_key, secrets_match,
};
use bramleywind_types::{RefusalCode, RepeatAdvice, RequestKey, RunState, TokenCount};
use http::{HeaderMap, HeaderValue};
use proptest::prelude::*;
use test_case::test_case;

fn usage(total: u64, completion: Option<u64>) -> Option<ReportedUsage> {
    Some(ReportedUsage { total: TokenCount(total), completion: completion.map(TokenCount) })
}

fn bill(
    delivered: u64,
    reported: Option<ReportedUsage>,
    ending: AnswerEnding,
    accepted: bool,
) -> BillDecision {
    decide_bill(&BillInput {
        prompt_estimate: TokenCount(10),
        delivered: TokenCount(delivered),
        reserved: TokenCount(60),
        reported,
        ending,
        accepted,
    })
}

/// Checks each billing rule, B1 to B7, of section 5 of the design.
#[test_case(20, usage(28, Some(20)), AnswerEnding::Complete => (28, 0); "b1 reported")]
#[test_case(20, usage(60, None), AnswerEnding::Complete => (60, 0); "b1 all of the reservation")]
#[test_case(20, None, AnswerEnding::Complete => (30, 0); "b2 nothing reported")]
#[test_case(20, usage(19, None), AnswerEnding::Complete => (30, 0); "b2 less than delivered")]
#[test_case(20, usage(25, Some(19)), AnswerEnding::Complete => (30, 0); "b2 completion below delivered")]
#[test_case(20, usage(61, Some(51)), AnswerEnding::Complete => (60, 1); "b3 more than reserved")]
#[test_case(20, usage(u64::MAX, None), AnswerEnding::Complete => (60, u64::MAX - 60); "b3 absurd")]
#[test_case(u64::MAX, None, AnswerEnding::Complete => (60, u64::MAX - 60); "b3 delivered too much")]
#[test_case(20, usage(40, None), AnswerEnding::CallerGone => (30, 0); "b4 caller gone")]
#[test_case(0, None, AnswerEnding::CallerGone => (10, 0); "b4 before the first token")]
#[test_case(0, usage(40, None), AnswerEnding::EndpointFailed => (0, 0); "b5 no token")]
#[test_case(20, usage(40, None), AnswerEnding::EndpointFailed => (30, 0); "b7 what was received")]
fn a_bill_follows_the_rules(
    delivered: u64,
    reported: Option<ReportedUsage>,
    ending: AnswerEnding,
) -> (u64, u64) {
    let bill = bill(delivered, reported, ending, true);
    (bill.billed.0, bill.excess.0)
}

/// Guards against billing a request that no endpoint accepted.
#[test]
fn a_caller_that_leaves_the_queue_pays_nothing() {
    assert_eq!(bill(0, None, AnswerEnding::CallerGone, false).billed, TokenCount(0));
}

proptest! {
    /// Guards against a bill above the reservation, whatever an engine reports.
    #[test]
    fn no_bill_exceeds_its_reservation(
        estimate: u64, delivered: u64, reserved: u64, total: u64, completion: Option<u64>,
        reports: bool, ending in 0..3, accepted: bool,
    ) {
        let bill = decide_bill(&BillInput {
            prompt_estimate: TokenCount(estimate),
            delivered: TokenCount(delivered),
            reserved: TokenCount(reserved),
            reported: usage(total, completion).filter(|_| reports),
            ending: [AnswerEnding::Complete, AnswerEnding::CallerGone, AnswerEnding::EndpointFailed]
                [ending as usize],
            accepted,
        });
        prop_assert!(bill.billed.0 <= reserved);
    }

    /// Guards against events that are lost, split or changed by the chunks in which a stream arrives.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        texts in prop::collection::vec("[a-z\u{e9}]{0,9}", 1..6),
        crlf: bool,
        chunk_sizes in prop::collection::vec(1usize..9, 0..40),
    ) {
        let end = if crlf { "\r\n\r\n" } else { "\n\n" };
        let events: Vec<String> = texts.iter().map(|text| format!("data: {text}{end}")).collect();
        let stream = events.concat().into_bytes();
        let mut scanner = EventScanner::default();
        let mut found = Vec::new();
        let mut rest = stream.as_slice();
        for chunk_size in chunk_sizes.into_iter().chain([usize::MAX]) {
            let (chunk, remaining) = rest.split_at(chunk_size.min(rest.len()));
            rest = remaining;
            scanner.push(chunk);
            while let Some(event) = scanner.next_event() {
                found.push(String::from_utf8(event.to_vec()).unwrap());
            }
        }
        prop_assert_eq!(found, events);
        prop_assert!(!scanner.has_remainder());
    }

    /// Guards against a panic on arbitrary bytes from an engine or a caller.
    #[test]
    fn parsers_accept_arbitrary_bytes(bytes: Vec<u8>) {
        let _ = EngineEvent::of(&bytes);
        let _ = ChatRequest::parse(&bytes);
        let mut scanner = EventScanner::default();
        scanner.push(&bytes);
        while scanner.next_event().is_some() {}
    }
}

/// Guards against stream events that are misread, so that tokens are counted wrongly.
#[test_case(r#"data: {"choices":[{"delta":{"content":"a"}}]}"# => "token"; "content")]
#[test_case(r#"data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}"# => "token"; "last content")]
#[test_case(r#"data: {"choices":[{"delta":{"role":"assistant"}}]}"# => "other"; "role")]
#[test_case(r#"data: {"choices":[{"delta":{"content":""}}]}"# => "other"; "empty content")]
#[test_case(r#"data: {"choices":[{"delta":{"content":null}}]}"# => "other"; "null content")]
#[test_case(r#"data: {"choices":[],"usage":{"total_tokens":3}}"# => "usage"; "usage")]
#[test_case(r#"data: {"choices":[{"delta":{"content":"a"}}],"usage":null}"# => "token"; "null usage")]
#[test_case(r#"data: {"choices":[],"usage":{"total_tokens":-3}}"# => "failed"; "negative usage")]
#[test_case("data: [DONE]" => "done"; "done")]
#[test_case("data:[DONE]\r" => "done"; "done without a space")]
#[test_case(": ping" => "empty"; "comment")]
#[test_case("event: error\ndata: {}" => "failed"; "error event")]
#[test_case(r#"data: {"error":{"message":"no"}}"# => "failed"; "error object")]
#[test_case("data: <html>" => "failed"; "no json")]
fn an_event_is_read(event: &str) -> &'static str {
    match EngineEvent::of(event.as_bytes()) {
        EngineEvent::Token { .. } => "token",
        EngineEvent::Usage { .. } => "usage",
        EngineEvent::Other { .. } => "other",
        EngineEvent::Empty => "empty",
        EngineEvent::Done => "done",
        EngineEvent::Failed => "failed",
    }
}

fn retry(failure: AttemptFailure, never_ran: bool, idempotent: bool) -> RetryDecision {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    decide_retry(&RetryInput { failure, never_ran, idempotent, attempts: 1, deadline, now })
}

/// Guards against a second run of a request that must not run twice, and against refusals with a wrong run state.
#[test_case(AttemptFailure::NotConnected, true, false => None; "never sent")]
#[test_case(AttemptFailure::Declined, true, false => None; "declined")]
#[test_case(AttemptFailure::Broken, false, true => None; "broken and idempotent")]
#[test_case(AttemptFailure::Broken, false, false => Some((RefusalCode::EndpointFailed, RunState::MayHaveRun, RepeatAdvice::Never)); "broken")]
#[test_case(AttemptFailure::TimedOut, false, false => Some((RefusalCode::EndpointTimeout, RunState::MayHaveRun, RepeatAdvice::Never)); "silent")]
#[test_case(AttemptFailure::NotConnected, false, false => Some((RefusalCode::NoEndpoint, RunState::MayHaveRun, RepeatAdvice::Never)); "ran before")]
fn a_failed_attempt_is_retried_where_that_is_safe(
    failure: AttemptFailure,
    never_ran: bool,
    idempotent: bool,
) -> Option<(RefusalCode, RunState, RepeatAdvice)> {
    match retry(failure, never_ran, idempotent) {
        RetryDecision::Retry => None,
        RetryDecision::GiveUp(refusal) => Some((refusal.code, refusal.ran, refusal.repeat)),
    }
}

/// Guards against unbounded retries.
#[test_case(MAX_ATTEMPTS, 1; "attempts are used up")]
#[test_case(1, 0; "the deadline has come")]
fn retries_are_bounded(attempts: u32, remaining_s: u64) {
    let now = Instant::now();
    let decision = decide_retry(&RetryInput {
        failure: AttemptFailure::NotConnected,
        never_ran: true,
        idempotent: true,
        attempts,
        deadline: now + Duration::from_secs(remaining_s),
        now,
    });
    let RetryDecision::GiveUp(refusal) = decision else { panic!("the attempt was retried") };
    assert_eq!((refusal.ran, refusal.repeat), (RunState::NotRun, RepeatAdvice::AfterDelay));
}

/// Guards against a drain that ends too early or not at all.
#[test_case(0, 9 => DrainPhase::Grace; "at once")]
#[test_case(4, 0 => DrainPhase::Grace; "callers still come")]
#[test_case(5, 1 => DrainPhase::Finishing; "requests run")]
#[test_case(5, 0 => DrainPhase::Finished; "idle")]
#[test_case(64, 1 => DrainPhase::Finishing; "still runs")]
#[test_case(65, 1 => DrainPhase::Finished; "out of time")]
fn a_drain_goes_through_its_phases(after_s: u64, running: usize) -> DrainPhase {
    let now = Instant::now();
    let mut drain = DrainState::default();
    assert_eq!(drain.phase(now, running), DrainPhase::Live);
    let (grace, bound) = (Duration::from_secs(5), Duration::from_secs(60));
    assert!(drain.begin(now, grace, bound));
    assert!(
        !drain.begin(now + Duration::from_secs(3), grace, bound),
        "a second signal began the drain again"
    );
    drain.phase(now + Duration::from_secs(after_s), running)
}

/// Guards against an entry weight of zero, and against one that draws more callers than the entry can serve.
#[test_case(100, 0 => 100)]
#[test_case(100, 99 => 5)]
#[test_case(100, usize::MAX => 5)]
#[test_case(1, 3 => 1)]
fn a_weight_falls_with_load(capacity: u32, running: usize) -> u32 {
    entry_weight(capacity, running)
}

/// Guards against a key that matches by a prefix, or whose position in the list keeps it from being found.
#[test]
fn keys_match_only_as_a_whole() {
    let hashes: Vec<_> = ["a", "b", "c"].map(KeyHash::of).into();
    let found: Vec<_> = ["a", "b", "c", "", "ab"].map(|key| find_key(&hashes, key)).into();
    assert_eq!(found, [Some(0), Some(1), Some(2), None, None]);
    assert_eq!(find_key(&[], "a"), None);
    assert!(secrets_match("token", "token") && !secrets_match("token", "tokens"));
}

/// Guards against bearer keys that are parsed wrongly.
#[test_case("Bearer k" => Some("k".to_owned()))]
#[test_case("bearer  k" => Some("k".to_owned()); "spaces")]
#[test_case("Bearer " => None; "empty")]
#[test_case("Basic k" => None; "other scheme")]
#[test_case("k" => None; "no scheme")]
fn a_bearer_key_is_read(value: &str) -> Option<String> {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", HeaderValue::from_str(value).unwrap());
    bearer_key(&headers).map(str::to_owned)
}

/// Guards against hop-by-hop headers that are passed on to another connection.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "x-own, keep-alive"),
        ("x-own", "1"),
        ("keep-alive", "5"),
        ("transfer-encoding", "chunked"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("proxy-authorization", "secret"),
        ("content-type", "text/plain"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let kept = end_to_end_headers(&headers);
    let names: Vec<_> = kept.keys().map(http::HeaderName::as_str).collect();
    assert_eq!(names, ["content-type"]);
}

/// Guards against a resumed request that asks for tokens the caller already has, or that changes other fields.
#[test]
fn engine_request_resumes_after_delivered_tokens() {
    let body = br#"{"model":"m","messages":[{"role":"user","content":"a"}],"seed":12345678901234567890123,"stream":false}"#;
    let request = ChatRequest::parse(body).unwrap();
    let first = String::from_utf8(request.engine_body(TokenCount(0)).to_vec()).unwrap();
    assert!(!first.contains("resume_from") && first.contains(r#""stream":true"#));
    assert!(first.contains("12345678901234567890123"), "a number was changed: {first}");
    let rest = String::from_utf8(request.engine_body(TokenCount(7)).to_vec()).unwrap();
    assert!(rest.contains(r#""resume_from":7"#));
}

/// Guards against a reclaim that ends after the repeated request was billed, and whose tokens would stay counted in
/// addition to the bill.
#[test]
fn a_repeat_is_due_until_reclaims_must_have_ended() {
    let start = Instant::now();
    let mut repeats = RepeatTracker::default();
    let key = RequestKey { workspace: "w".parse().unwrap(), key: "k".parse().unwrap() };
    let repeat = BilledRepeat { budget: "b".parse().unwrap(), key };
    repeats.record(repeat.clone(), start);
    let due_seconds: Vec<u64> = (0..1_000)
        .filter(|second| repeats.take_due(start + Duration::from_secs(*second)) == [repeat.clone()])
        .collect();
    assert_eq!(due_seconds, [2, 6, 14, 30, 60, 180, 600]);
}
