use std::time::{Duration, Instant};

/// Limit on the messages that a peer may send per second. Exceeding it closes the connection.
pub const MAX_MESSAGES_PER_SECOND: u32 = 1_000;

/// Rate limit for what this process sends. It is below [`MAX_MESSAGES_PER_SECOND`], so that messages that the
/// network delivers in bursts are not treated as a flood.
const OUTGOING_MESSAGES_PER_SECOND: u32 = 900;

/// Number of messages that this process may send in one burst.
const OUTGOING_BURST_MESSAGES: u32 = 100;

/// Token bucket that limits a message rate.
#[derive(Debug)]
pub(crate) struct MessageBucket {
    capacity: f64,
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl MessageBucket {
    /// Creates the limit on what a peer sends to this process.
    pub(crate) fn incoming(now: Instant) -> Self {
        Self::new(MAX_MESSAGES_PER_SECOND, MAX_MESSAGES_PER_SECOND, now)
    }

    /// Creates the limit on what this process sends to a peer.
    pub(crate) fn outgoing(now: Instant) -> Self {
        Self::new(OUTGOING_BURST_MESSAGES, OUTGOING_MESSAGES_PER_SECOND, now)
    }

    fn new(capacity: u32, per_second: u32, now: Instant) -> Self {
        let capacity = f64::from(capacity);
        Self { capacity, per_second: f64::from(per_second), tokens: capacity, refilled: now }
    }

    /// Takes a token, or returns the time until one is available.
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
