//! Decides whether a failed attempt is followed by another one. The decision is a pure function, so that each
//! case can be tested alone.

use std::time::Instant;

use bramleywind_macros::domain_type;
use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice, RunState};

/// Maximum number of attempts of a request. Two endpoints may be crashed by a bad request, so a request that
/// was in flight at both crashes needs a third attempt.
pub const MAX_ATTEMPTS: u32 = 4;

/// The kind of failure of an attempt at an endpoint.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// The connection was not established, so the endpoint never received the request.
    NotConnected,
    /// The endpoint answered that it did not accept the request, because it is leaving, full or unable to
    /// serve it.
    Declined,
    /// The connection broke after the request was sent.
    Broken,
    /// The endpoint answered with a server error.
    ServerError,
    /// The endpoint sent nothing for longer than the limit.
    TimedOut,
}

impl AttemptFailure {
    /// Returns true if the endpoint certainly did not run the request.
    pub fn is_certainly_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::Declined)
    }

    /// Returns true if the failure looks like a crash, so that a crash report is recorded for the requests in flight.
    pub fn is_crash(self) -> bool {
        matches!(self, Self::Broken)
    }
}

/// The input of [`decide_retry`].
#[derive(Debug, Clone, Copy)]
pub struct RetryInput {
    /// The failure of the last attempt.
    pub failure: AttemptFailure,
    /// Whether every failed attempt certainly did not run the request.
    pub never_ran: bool,
    /// Whether the request may run again.
    pub idempotent: bool,
    /// The number of attempts made.
    pub attempts: u32,
    /// The time by which the request must have its final answer.
    pub deadline: Instant,
    /// The current time.
    pub now: Instant,
}

/// The action after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint, if the retry budget allows it.
    Retry,
    /// Give up the request with this refusal.
    GiveUp(Refusal),
}

/// Decides whether to retry after a failed attempt. Only a request that never ran or is idempotent is
/// retried, up to [`MAX_ATTEMPTS`] attempts and until its deadline.
pub fn decide_retry(input: &RetryInput) -> RetryDecision {
    let may_repeat = input.never_ran || input.idempotent;
    if may_repeat && input.attempts < MAX_ATTEMPTS && input.now < input.deadline {
        RetryDecision::Retry
    } else {
        RetryDecision::GiveUp(failure_refusal(input.failure, input.never_ran, input.idempotent))
    }
}

/// Retry delay sent to callers after an endpoint failure, in milliseconds. Long enough for a poll of the
/// instance list to notice the failure.
const FAILURE_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the refusal of a request whose last attempt failed and that is not retried.
pub fn failure_refusal(failure: AttemptFailure, never_ran: bool, idempotent: bool) -> Refusal {
    let (code, message) = match failure {
        AttemptFailure::NotConnected => {
            (RefusalCode::NoEndpoint, "could not connect to any endpoint")
        }
        AttemptFailure::Declined => (RefusalCode::NoEndpoint, "no endpoint accepted the request"),
        AttemptFailure::Broken => (
            RefusalCode::EndpointFailed,
            "the endpoint closed the connection before its answer was complete",
        ),
        AttemptFailure::ServerError => {
            (RefusalCode::EndpointFailed, "the endpoint answered with an error")
        }
        AttemptFailure::TimedOut => {
            (RefusalCode::EndpointTimeout, "the endpoint did not answer in time")
        }
    };
    let repeat =
        if never_ran || idempotent { RepeatAdvice::AfterDelay } else { RepeatAdvice::Never };
    let ran = if never_ran { RunState::NotRun } else { RunState::MayHaveRun };
    let retry_after_ms = (repeat != RepeatAdvice::Never).then_some(FAILURE_RETRY_AFTER_MS);
    Refusal { code, message: message.into(), ran, repeat, retry_after_ms }
}
