//! Tests whether a failed request is sent again. Guards against at-most-once requests that run twice.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::{
    config::RouteKind,
    forward::{AttemptCounts, FailureKind, RetryDecision},
};
use test_case::test_case;

use FailureKind::{Declined, MayHaveRun, NotSent, TimedOut};
use RouteKind::{AtMostOnce, Idempotent, ResumableStream, Stream};

#[test_case(AtMostOnce, NotSent, 0 => RetryDecision::Free; "at most once, not sent")]
#[test_case(AtMostOnce, Declined, 0 => RetryDecision::Budgeted; "at most once, declined")]
#[test_case(AtMostOnce, MayHaveRun, 1 => RetryDecision::Never; "at most once, may have run")]
#[test_case(AtMostOnce, TimedOut, 1 => RetryDecision::Never; "at most once, timed out")]
#[test_case(Stream, MayHaveRun, 1 => RetryDecision::Never; "stream that cannot be resumed")]
#[test_case(ResumableStream, MayHaveRun, 1 => RetryDecision::Budgeted; "stream that can be resumed")]
#[test_case(Idempotent, MayHaveRun, 1 => RetryDecision::Budgeted; "idempotent, may have run")]
#[test_case(Idempotent, TimedOut, 1 => RetryDecision::Budgeted; "idempotent, timed out")]
#[test_case(Idempotent, MayHaveRun, 2 => RetryDecision::Never; "idempotent, all attempts used")]
fn decision_after_a_failed_call(kind: RouteKind, failure: FailureKind, runs: u32) -> RetryDecision {
    let now = Instant::now();
    let counts = AttemptCounts { calls: 1, runs };
    RetryDecision::decide(kind, failure, counts, 2, now + Duration::from_secs(1), now)
}

#[test]
fn no_retry_after_the_deadline() {
    let now = Instant::now();
    let counts = AttemptCounts { calls: 1, runs: 0 };
    let decision = RetryDecision::decide(Idempotent, NotSent, counts, 2, now, now);
    assert_eq!(decision, RetryDecision::Never);
}

#[test]
fn calls_to_unreachable_endpoints_are_limited() {
    let now = Instant::now();
    let counts = AttemptCounts { calls: 5, runs: 0 };
    let deadline = now + Duration::from_secs(1);
    assert_eq!(
        RetryDecision::decide(Idempotent, NotSent, counts, 2, deadline, now),
        RetryDecision::Never
    );
}
