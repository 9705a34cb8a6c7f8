use std::time::{Duration, Instant};

/// The delay after the first failure: a few round trips to a store that answers within milliseconds.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// The upper limit of the delay. For this long after an outage has ended, requests may still be refused
/// because no new attempt was made.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// An exponential backoff between failed attempts. Jitter keeps routers that failed at the same time from
/// retrying at the same time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetryDelay {
    failures: u32,
    not_before: Option<Instant>,
}

impl RetryDelay {
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|instant| now >= instant)
    }

    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed attempt and schedules the next one. `jitter` is a random number from 0 to 1.
    pub(crate) fn record_failure(&mut self, now: Instant, jitter: f64) {
        let delay = INITIAL_DELAY.saturating_mul(1 << self.failures.min(6)).min(MAX_DELAY);
        self.failures += 1;
        self.not_before = Some(now + delay.mul_f64(0.5 + jitter / 2.0));
    }

    /// Returns the number of failures since the last success.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }
}
