use std::time::{Duration, Instant};

/// Time for which an endpoint is avoided after the first of consecutive failures. About the time of two requests, so
/// that a single broken connection costs little.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest time for which an endpoint is avoided before it is tried again. An endpoint that crashed is back after a few
/// seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time for which an endpoint whose process has ended is avoided. Its registry entry goes within this time, and its next
/// start has an entry of its own.
const ENDED_BACKOFF: Duration = Duration::from_secs(4);

/// Holds the failures of an endpoint and the time at which it may be tried again.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    consecutive_failures: u32,
    avoided_until: Option<Instant>,
}

impl EndpointHealth {
    /// Records that a request was answered. Resets the backoff.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that the endpoint could not be reached or did not finish its response. Doubles the backoff with each
    /// consecutive failure, up to `MAX_BACKOFF`.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures - 1).min(3);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        self.avoided_until = Some(now + backoff);
    }

    /// Records that another instance answers at the endpoint's address. Such an endpoint does not recover by itself, so
    /// the longest backoff applies at once. A newer registry entry starts with fresh health.
    pub fn record_replaced(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.avoided_until = Some(now + MAX_BACKOFF);
    }

    /// Records that the endpoint's process has ended.
    pub fn record_ended(&mut self, now: Instant) {
        self.avoided_until = Some(now + ENDED_BACKOFF);
    }

    /// Returns whether the endpoint is backing off at `now`.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Number of failures since the last success.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}
