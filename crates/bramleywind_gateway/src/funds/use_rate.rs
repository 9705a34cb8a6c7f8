use std::time::{Duration, Instant};

/// The time constant of the short average: long enough to cover several requests of a busy workspace, and short enough
/// to follow a burst.
const SHORT_WINDOW: Duration = Duration::from_secs(4);

/// The time constant of the long average: several times the short one, so that a random gap between requests has little
/// effect.
const LONG_WINDOW: Duration = Duration::from_secs(15);

/// The rate of recently reserved tokens, as two exponentially decaying averages.
#[derive(Debug)]
pub struct UseRate {
    short: f64,
    long: f64,
    updated_at: Instant,
}

impl UseRate {
    /// Creates a rate of zero.
    pub fn new(now: Instant) -> Self {
        Self { short: 0.0, long: 0.0, updated_at: now }
    }

    /// Adds reserved tokens to the rate.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        let (short, long) = self.decayed(now);
        self.short = short + tokens as f64 / SHORT_WINDOW.as_secs_f64();
        self.long = long + tokens as f64 / LONG_WINDOW.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the rate at `now` in tokens per second. This is the larger average, since holding too few tokens is
    /// worse than holding some too many.
    pub fn at(&self, now: Instant) -> f64 {
        let (short, long) = self.decayed(now);
        short.max(long)
    }

    /// Returns both averages, decayed to `now`.
    fn decayed(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = |window: Duration| (-age / window.as_secs_f64()).exp();
        (self.short * decay(SHORT_WINDOW), self.long * decay(LONG_WINDOW))
    }
}
