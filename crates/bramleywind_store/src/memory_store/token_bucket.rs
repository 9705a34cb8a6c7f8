use std::time::{Duration, Instant};

/// The maximum burst, as the seconds' worth of calls that the bucket holds.
///
/// A tenth of a second keeps the calls of any one second within 110% of the rate.
const BURST_SECONDS: f64 = 0.1;

/// Limits the rate of calls to a platform service.
///
/// ```
/// use bramleywind_store::TokenBucket;
///
/// let mut bucket = TokenBucket::new(1);
/// assert!(bucket.try_take());
/// assert!(!bucket.try_take());
/// ```
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket with this rate. Zero means no limit.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, tokens: Self::capacity(per_second), filled_at: Instant::now() }
    }

    /// Takes one token from the bucket. Returns false if none is available.
    pub fn try_take(&mut self) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let now = Instant::now();
        let refill = (now - self.filled_at).as_secs_f64() * self.per_second;
        self.filled_at = now;
        self.tokens = (self.tokens + refill).min(Self::capacity(self.per_second));
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Returns how long a refused caller has to wait until a call is allowed.
    pub fn wait_time(&self) -> Duration {
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        if self.per_second == 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing_tokens / self.per_second)
    }

    fn capacity(per_second: f64) -> f64 {
        (per_second * BURST_SECONDS).max(1.0)
    }
}
