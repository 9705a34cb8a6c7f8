use std::{collections::VecDeque, time::Duration, time::Instant};

/// How long a request counts towards the budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The retries that are allowed for a request in the window.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Retries that are always allowed in a window, so that a quiet router can retry at all.
const MIN_RETRIES: usize = 3;

/// Limits retries to a share of the requests, so that a sick back end is not sent a multiple of its load.
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

    /// Counts and allows a retry, or refuses it.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.try_retry_within(RETRIES_PER_REQUEST, MIN_RETRIES, now)
    }

    /// As [`Self::try_retry`], with another share of the requests, and another number that is always allowed.
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
