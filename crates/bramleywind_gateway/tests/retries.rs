//! Whether a failed request is sent again. Guards against orders that run twice.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::{Duration, Instant};

use bramleywind_gateway::{
    config::RouteKind,
    forward::{AttemptCounts, FailureKind, RetryDecision},
};
use test_case::test_case;

use FailureKind::{Declined, MayHaveRun, NotSent, TimedOut};
use RouteKind::{AtMostOnce, Idempotent, ResumableStream, Stream};

#[test_case(AtMostOnce, NotSent, 0 => RetryDecision::Free; "an order that was not sent")]
#[test_case(AtMostOnce, Declined, 0 => RetryDecision::Budgeted; "an order that was declined")]
#[test_case(AtMostOnce, MayHaveRun, 1 => RetryDecision::Never; "an order that may have run")]
#[test_case(AtMostOnce, TimedOut, 1 => RetryDecision::Never; "an order without an answer")]
#[test_case(Stream, MayHaveRun, 1 => RetryDecision::Never; "a stream that can not be resumed")]
#[test_case(ResumableStream, MayHaveRun, 1 => RetryDecision::Budgeted; "a stream that can be resumed")]
#[test_case(Idempotent, MayHaveRun, 1 => RetryDecision::Budgeted; "a look-up that may have run")]
#[test_case(Idempotent, TimedOut, 1 => RetryDecision::Budgeted; "a look-up without an answer")]
#[test_case(Idempotent, MayHaveRun, 2 => RetryDecision::Never; "a look-up that used its attempts")]
fn second_call(kind: RouteKind, failure: FailureKind, runs: u32) -> RetryDecision {
    let now = Instant::now();
    let counts = AttemptCounts { calls: 1, runs };
    RetryDecision::decide(kind, failure, counts, 2, now + Duration::from_secs(1), now)
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let now = Instant::now();
    let counts = AttemptCounts { calls: 1, runs: 0 };
    let rule = RetryDecision::decide(Idempotent, NotSent, counts, 2, now, now);
    assert_eq!(rule, RetryDecision::Never);
}

#[test]
fn endpoints_that_can_not_be_reached_do_not_go_on_for_ever() {
    let now = Instant::now();
    let counts = AttemptCounts { calls: 5, runs: 0 };
    let deadline = now + Duration::from_secs(1);
    assert_eq!(
        RetryDecision::decide(Idempotent, NotSent, counts, 2, deadline, now),
        RetryDecision::Never
    );
}
