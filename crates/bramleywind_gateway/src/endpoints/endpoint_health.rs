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

/// Weight of a new outcome in the failure rate. Some five requests show that an endpoint fails many of them.
const OUTCOME_WEIGHT: f64 = 0.2;

/// The time in which the failure rate halves without new outcomes, so that an endpoint that others are preferred to is tried
/// again.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(5);

/// The failure rate below which an endpoint counts as sound.
const MIN_FAILURE_RATE: f64 = 0.01;

/// Holds the failures of an endpoint and the time at which it may be tried again.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    consecutive_failures: u32,
    avoided_until: Option<Instant>,
    /// The smoothed fraction of failed requests at `rated_at`.
    rate: f64,
    rated_at: Option<Instant>,
}

impl EndpointHealth {
    /// Records that a request was answered. Resets the backoff.
    pub fn record_success(&mut self, now: Instant) {
        self.end_backoff();
        self.add_outcome(0.0, now);
    }

    /// Records that a request was answered with a server error. The endpoint can be reached, so the backoff is reset; the error
    /// may be that of the request, so other endpoints are only preferred.
    pub fn record_error(&mut self, now: Instant) {
        self.end_backoff();
        self.add_outcome(1.0, now);
    }

    fn end_backoff(&mut self) {
        (self.consecutive_failures, self.avoided_until) = (0, None);
    }

    fn add_outcome(&mut self, failed: f64, now: Instant) {
        let rate = self.failure_rate(now);
        self.rate = rate + OUTCOME_WEIGHT * (failed - rate);
        self.rated_at = Some(now);
    }

    /// Returns the smoothed fraction of the endpoint's requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(rated_at) = self.rated_at.filter(|_| self.rate >= MIN_FAILURE_RATE) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(rated_at);
        self.rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64())
    }

    /// Records that the endpoint could not be reached or did not finish its response. Doubles the backoff with each
    /// consecutive failure, up to `MAX_BACKOFF`.
    pub fn record_failure(&mut self, now: Instant) {
        self.add_outcome(1.0, now);
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
