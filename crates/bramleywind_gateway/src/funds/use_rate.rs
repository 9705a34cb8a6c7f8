use std::time::{Duration, Instant};

/// The time constant of the short average: long enough to cover several requests of a busy workspace, and short enough
/// to follow a burst.
const SHORT_WINDOW: Duration = Duration::from_secs(4);

/// The time constant of the long average: several times the short one, so that a random gap between requests has little
/// effect.
const LONG_WINDOW: Duration = Duration::from_secs(15);

/// The time since the first tokens from which on the averages are corrected for the time before them. A correction for
/// less would take a single request for a high rate.
const MIN_OBSERVED_TIME: Duration = Duration::from_secs(2);

/// The rate of recently reserved tokens, as two exponentially decaying averages.
#[derive(Debug)]
pub struct UseRate {
    short: f64,
    long: f64,
    /// When the first tokens were added.
    began_at: Option<Instant>,
    updated_at: Instant,
    mean_need: f64,
}

/// The weight of the latest reservation in the mean.
const NEED_WEIGHT: f64 = 0.1;

impl UseRate {
    /// Creates a rate of zero.
    pub fn new(now: Instant) -> Self {
        Self { short: 0.0, long: 0.0, began_at: None, updated_at: now, mean_need: 0.0 }
    }

    /// Adds reserved tokens to the rate.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        let (short, long) = self.decayed(now);
        self.short = short + tokens as f64 / SHORT_WINDOW.as_secs_f64();
        self.long = long + tokens as f64 / LONG_WINDOW.as_secs_f64();
        if self.began_at.is_none() {
            self.mean_need = tokens as f64;
        }
        self.mean_need += (tokens as f64 - self.mean_need) * NEED_WEIGHT;
        self.began_at.get_or_insert(now);
        self.updated_at = now;
    }

    /// Returns the rate at `now` in tokens per second. This is the larger average, since holding too few tokens is
    /// worse than holding some too many.
    pub fn at(&self, now: Instant) -> f64 {
        let Some(began_at) = self.began_at else { return 0.0 };
        let observed = now.saturating_duration_since(began_at).max(MIN_OBSERVED_TIME);
        // The share of an average's weight that lies after the first tokens.
        let weight =
            |window: Duration| 1.0 - (-observed.as_secs_f64() / window.as_secs_f64()).exp();
        let (short, long) = self.decayed(now);
        (short / weight(SHORT_WINDOW)).max(long / weight(LONG_WINDOW))
    }

    /// Returns the mean number of tokens of the latest reservations.
    pub fn mean_need(&self) -> f64 {
        self.mean_need
    }

    /// Returns both averages, decayed to `now`.
    fn decayed(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = |window: Duration| (-age / window.as_secs_f64()).exp();
        (self.short * decay(SHORT_WINDOW), self.long * decay(LONG_WINDOW))
    }
}
