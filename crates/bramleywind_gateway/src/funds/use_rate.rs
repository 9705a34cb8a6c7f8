use std::time::{Duration, Instant};

/// The time over which use is averaged: long enough to hold several requests of a busy workspace, short enough
/// to follow a burst.
const AVERAGING_TIME: Duration = Duration::from_secs(4);

/// Tokens a second that were reserved lately. Old use fades exponentially.
#[derive(Debug)]
pub struct UseRate {
    per_second: f64,
    updated_at: Instant,
}

impl UseRate {
    /// A rate of nothing.
    pub fn new(now: Instant) -> Self {
        Self { per_second: 0.0, updated_at: now }
    }

    /// Counts tokens that were reserved.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        self.per_second = self.at(now) + tokens as f64 / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// The rate now, in tokens a second.
    pub fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.per_second * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
