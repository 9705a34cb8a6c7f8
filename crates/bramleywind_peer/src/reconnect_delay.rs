use std::time::Duration;

use rand::Rng as _;

const FIRST_DELAY: Duration = Duration::from_millis(50);

/// A jittered exponential delay between attempts to connect, so that routers do not dial a restarted peer in
/// step.
#[derive(Debug)]
pub(crate) struct ReconnectDelay {
    next: Duration,
    longest: Duration,
}

impl ReconnectDelay {
    pub(crate) fn new(longest: Duration) -> Self {
        Self { next: FIRST_DELAY.min(longest), longest }
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::new(self.longest);
    }

    /// The next delay, between a half and the whole of the nominal one.
    pub(crate) fn next(&mut self) -> Duration {
        let nominal = self.next;
        self.next = (nominal * 2).min(self.longest);
        nominal.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
