use std::time::{Duration, Instant};

/// The most messages that a peer may send per second. More closes the connection.
pub const MAX_MESSAGES_PER_SECOND: u32 = 1_000;

/// The rate at which this process sends, per second. It is below the limit, so that messages which the network
/// bunches up do not look like a flood.
const SENT_PER_SECOND: u32 = 900;

/// How many messages this process sends in one burst.
const SENT_BURST: u32 = 100;

/// A token bucket that counts messages.
#[derive(Debug)]
pub(crate) struct MessageBucket {
    capacity: f64,
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl MessageBucket {
    /// The limit on what a peer sends to this process.
    pub(crate) fn incoming(now: Instant) -> Self {
        Self::new(MAX_MESSAGES_PER_SECOND, MAX_MESSAGES_PER_SECOND, now)
    }

    /// The limit that this process keeps to.
    pub(crate) fn outgoing(now: Instant) -> Self {
        Self::new(SENT_BURST, SENT_PER_SECOND, now)
    }

    fn new(capacity: u32, per_second: u32, now: Instant) -> Self {
        let capacity = f64::from(capacity);
        Self { capacity, per_second: f64::from(per_second), tokens: capacity, refilled: now }
    }

    /// Takes a token, or says how long it takes until there is one.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.capacity);
        self.refilled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_second))
    }
}
