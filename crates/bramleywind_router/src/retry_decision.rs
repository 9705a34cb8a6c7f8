//! Whether a failed attempt is followed by another one. Pure, so that each case can be tested alone.

use std::time::Instant;

use bramleywind_macros::domain_type;
use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice, RunState};

/// The most attempts of one request. Two endpoints may fall to a crashing request, so a bystander of both
/// crashes needs a third.
pub const MAX_ATTEMPTS: u32 = 4;

/// How an attempt at an endpoint failed.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// The connection was refused, so the endpoint never saw the request.
    NotConnected,
    /// The endpoint answered that it did not take the request: it is leaving, full or unable.
    Declined,
    /// The connection broke after the request was sent.
    Broken,
    /// The endpoint answered with a server error.
    ServerError,
    /// Nothing came for longer than the limit.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the endpoint certainly did not run the request.
    pub fn is_certainly_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::Declined)
    }

    /// Whether the failure looks like a crash, and gives the requests in flight a strike.
    pub fn is_crash(self) -> bool {
        matches!(self, Self::Broken)
    }
}

/// All that the decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct RetryInput {
    /// How the last attempt failed.
    pub failure: AttemptFailure,
    /// Whether every failed attempt certainly did not run.
    pub never_ran: bool,
    /// Whether the request may run again.
    pub idempotent: bool,
    /// How many attempts were made.
    pub attempts: u32,
    /// When the request must have its final answer.
    pub deadline: Instant,
    /// The present.
    pub now: Instant,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint, if the retry budget allows it.
    Retry,
    /// Give the request up with this refusal.
    GiveUp(Refusal),
}

/// Decides what follows a failed attempt.
pub fn decide_retry(input: &RetryInput) -> RetryDecision {
    let may_repeat = input.never_ran || input.idempotent;
    if may_repeat && input.attempts < MAX_ATTEMPTS && input.now < input.deadline {
        RetryDecision::Retry
    } else {
        RetryDecision::GiveUp(failure_refusal(input.failure, input.never_ran, input.idempotent))
    }
}

/// The delay that is advised after an endpoint failure, in milliseconds. Long enough for a poll of the
/// instance list to notice the failure.
const FAILURE_RETRY_AFTER_MS: u64 = 1_000;

/// The refusal of a request whose last attempt failed and that is not retried.
pub fn failure_refusal(failure: AttemptFailure, never_ran: bool, idempotent: bool) -> Refusal {
    let (code, message) = match failure {
        AttemptFailure::NotConnected => {
            (RefusalCode::NoEndpoint, "no endpoint could be connected to")
        }
        AttemptFailure::Declined => (RefusalCode::NoEndpoint, "no endpoint took the request"),
        AttemptFailure::Broken => {
            (RefusalCode::EndpointFailed, "the endpoint broke the connection")
        }
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
