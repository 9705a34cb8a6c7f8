use std::time::{Duration, Instant};

/// The first delay: a few round trips to a store that answers within milliseconds.
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// The longest delay. After an outage, requests may be refused for this long for want of an attempt.
const LONGEST_DELAY: Duration = Duration::from_secs(2);

/// The jittered exponential delay between failed attempts, so that routers that failed together do not
/// return together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RetryDelay {
    failures: u32,
    not_before: Option<Instant>,
}

impl RetryDelay {
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|instant| now >= instant)
    }

    pub(crate) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; `jitter` is a random number from 0 to 1.
    pub(crate) fn failed(&mut self, now: Instant, jitter: f64) {
        let delay = FIRST_DELAY.saturating_mul(1 << self.failures.min(6)).min(LONGEST_DELAY);
        self.failures += 1;
        self.not_before = Some(now + delay.mul_f64(0.5 + jitter / 2.0));
    }

    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }
}
