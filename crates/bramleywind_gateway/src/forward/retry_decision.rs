use std::time::Instant;

use super::FailureKind;
use crate::config::RouteKind;

/// Maximum number of calls for one request, including calls that never reached an endpoint.
const MAX_CALLS: u32 = 5;

/// The numbers of calls made for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Number of calls that were started.
    pub calls: u32,
    /// Number of calls in which the request ran or may have run.
    pub runs: u32,
}

/// The decision whether a failed request may be sent to another endpoint, before the retry budget is considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is not sent again.
    Never,
    /// The request may be sent again without using the retry budget, because it was not sent to an endpoint.
    Free,
    /// The request may be sent again if the retry budget allows it.
    Budgeted,
}

impl RetryDecision {
    /// Decides from the kind of the route and of the failure, the number of calls so far, and the deadline. `run_limit`
    /// is the maximum number of endpoints on which the request may run.
    pub fn decide(
        kind: RouteKind,
        failure: FailureKind,
        counts: AttemptCounts,
        run_limit: u32,
        deadline: Instant,
        now: Instant,
    ) -> Self {
        if counts.calls >= MAX_CALLS || now >= deadline {
            return Self::Never;
        }
        match failure {
            FailureKind::NotSent | FailureKind::Left => Self::Free,
            FailureKind::Declined | FailureKind::Replaced => Self::Budgeted,
            FailureKind::ConnectionLost | FailureKind::MayHaveRun | FailureKind::TimedOut => {
                if kind.is_repeatable() && counts.runs < run_limit {
                    Self::Budgeted
                } else {
                    Self::Never
                }
            }
        }
    }
}
