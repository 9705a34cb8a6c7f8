use std::time::{Duration, Instant};

/// The time of the short average: long enough to hold several requests of a busy workspace, short enough to follow a
/// burst.
const SHORT_TIME: Duration = Duration::from_secs(4);

/// The time of the long average: several times the short one, so that a pause of chance weighs little.
const LONG_TIME: Duration = Duration::from_secs(15);

/// Tokens a second that were reserved lately. Old use fades exponentially.
#[derive(Debug)]
pub struct UseRate {
    short: f64,
    long: f64,
    updated_at: Instant,
}

impl UseRate {
    /// A rate of nothing.
    pub fn new(now: Instant) -> Self {
        Self { short: 0.0, long: 0.0, updated_at: now }
    }

    /// Counts tokens that were reserved.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        let (short, long) = self.faded(now);
        self.short = short + tokens as f64 / SHORT_TIME.as_secs_f64();
        self.long = long + tokens as f64 / LONG_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// The rate now, in tokens a second: the larger average, since too few tokens are worse than some too many.
    pub fn at(&self, now: Instant) -> f64 {
        let (short, long) = self.faded(now);
        short.max(long)
    }

    fn faded(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let part = |time: Duration| (-age / time.as_secs_f64()).exp();
        (self.short * part(SHORT_TIME), self.long * part(LONG_TIME))
    }
}
