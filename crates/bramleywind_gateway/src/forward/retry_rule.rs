use std::time::Instant;

use super::FailureKind;
use crate::config::RouteKind;

/// The most calls for one request, those included that never reached an endpoint.
const MOST_CALLS: u32 = 5;

/// What a request has cost so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Calls that were begun.
    pub calls: u32,
    /// Calls after which the request may have run.
    pub runs: u32,
}

/// Whether a failed request may be sent to another endpoint, before the retry budget is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is not sent again.
    Never,
    /// It may be sent again: nothing of it has reached an endpoint, so it draws on no budget.
    Free,
    /// It may be sent again if the retry budget allows.
    Budgeted,
}

impl RetryDecision {
    /// Decides from what is known of the failure.
    pub fn decide(
        kind: RouteKind,
        failure: FailureKind,
        counts: AttemptCounts,
        run_limit: u32,
        deadline: Instant,
        now: Instant,
    ) -> Self {
        if counts.calls >= MOST_CALLS || now >= deadline {
            return Self::Never;
        }
        match failure {
            FailureKind::NotSent => Self::Free,
            FailureKind::Declined | FailureKind::Replaced => Self::Budgeted,
            FailureKind::MayHaveRun | FailureKind::TimedOut => {
                if kind.is_repeatable() && counts.runs < run_limit {
                    Self::Budgeted
                } else {
                    Self::Never
                }
            }
        }
    }
}
