use std::time::Duration;

use rand::Rng as _;

/// The nominal delay before the first retry.
const INITIAL_DELAY: Duration = Duration::from_millis(20);

/// The longest delay. It also limits how long a page still refuses claims after the end of an outage.
pub(crate) const MAX_DELAY: Duration = Duration::from_secs(2);

/// An exponential backoff with jitter, so that routers do not all call a recovering store at the same time.
#[derive(Debug)]
pub(crate) struct RetryDelay {
    next: Duration,
}

impl Default for RetryDelay {
    fn default() -> Self {
        Self { next: INITIAL_DELAY }
    }
}

impl RetryDelay {
    /// Returns the next delay, between half and all of the nominal one, which is at most `longest`, and doubles the
    /// nominal delay.
    pub(crate) fn next(&mut self, longest: Duration) -> Duration {
        let nominal = self.next.min(longest);
        self.next = (nominal * 2).min(MAX_DELAY);
        nominal.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
