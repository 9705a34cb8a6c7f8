use std::time::Duration;

use rand::Rng as _;

const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Exponential backoff with jitter between connection attempts, so that routers do not all dial a restarted
/// peer at the same time.
#[derive(Debug)]
pub(crate) struct ReconnectDelay {
    next: Duration,
    max: Duration,
}

impl ReconnectDelay {
    pub(crate) fn new(max: Duration) -> Self {
        Self { next: INITIAL_DELAY.min(max), max }
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::new(self.max);
    }

    /// Returns the next delay, which is between half and all of the nominal delay, and doubles the nominal one.
    pub(crate) fn next(&mut self) -> Duration {
        let nominal = self.next;
        self.next = (nominal * 2).min(self.max);
        nominal.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
