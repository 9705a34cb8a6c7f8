use std::time::Duration;

use rand::Rng as _;

const INITIAL_DELAY: Duration = Duration::from_millis(20);

/// The longest delay. It also bounds how long after the end of an outage a page still refuses claims.
pub(crate) const MAX_DELAY: Duration = Duration::from_secs(2);

/// A jittered exponential delay, so that routers do not call a recovering store in step.
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
    /// The next delay, between a half and the whole of the nominal one, which is at most `longest`.
    pub(crate) fn next(&mut self, longest: Duration) -> Duration {
        let nominal = self.next.min(longest);
        self.next = (nominal * 2).min(MAX_DELAY);
        nominal.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
