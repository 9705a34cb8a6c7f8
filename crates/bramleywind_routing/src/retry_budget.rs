use std::{collections::VecDeque, time::Duration, time::Instant};

/// How long a request or a retry counts towards the budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The number of retries allowed per request in the window.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// The number of retries that are always allowed in the window, so that a router with little traffic can retry.
const MIN_RETRIES: usize = 3;

/// Limits retries to a share of the requests, so that retries do not multiply the load of a failing back end.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_routing::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let now = Instant::now();
/// assert_eq!((0..9).filter(|_| budget.try_retry(now)).count(), 3);
/// ```
#[derive(Debug, Default)]
pub struct RetryBudget {
    request_ends: VecDeque<Instant>,
    retry_ends: VecDeque<Instant>,
}

impl RetryBudget {
    /// Counts a request that was sent for the first time.
    pub fn record_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.request_ends.push_back(now + RETRY_WINDOW);
    }

    /// Reports whether a retry is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.try_retry_within(RETRIES_PER_REQUEST, MIN_RETRIES, now)
    }

    /// Does the same as [`Self::try_retry`], with the given number of retries per request and the given number that
    /// is always allowed.
    pub fn try_retry_within(&mut self, per_request: f64, minimum: usize, now: Instant) -> bool {
        self.drop_expired(now);
        let share = (self.request_ends.len() as f64 * per_request) as usize;
        if self.retry_ends.len() >= minimum.max(share) {
            return false;
        }
        self.retry_ends.push_back(now + RETRY_WINDOW);
        true
    }

    fn drop_expired(&mut self, now: Instant) {
        for ends in [&mut self.request_ends, &mut self.retry_ends] {
            while ends.front().is_some_and(|end| *end <= now) {
                ends.pop_front();
            }
        }
    }
}
