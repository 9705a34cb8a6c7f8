use std::time::{Duration, Instant};

/// How long an endpoint is avoided after its first failure in a row. About the time of two requests, so that a
/// single broken connection costs little.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest time that an endpoint is avoided before it is tried again. An endpoint that crashed is back
/// after some seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Whether an endpoint is worth a request, judged by the outcomes of earlier ones.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    failures_in_row: u32,
    avoided_until: Option<Instant>,
}

impl EndpointHealth {
    /// Notes that a request was answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that the endpoint could not be reached or broke off.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures_in_row += 1;
        let doublings = (self.failures_in_row - 1).min(3);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        self.avoided_until = Some(now + pause);
    }

    /// Notes that another instance answers at the endpoint's address. That does not pass by itself, so it is tried again
    /// seldom; a newer entry of the registry begins anew.
    pub fn record_replaced(&mut self, now: Instant) {
        self.failures_in_row += 1;
        self.avoided_until = Some(now + LONGEST_PAUSE);
    }

    /// Whether the endpoint is to be avoided now.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Failures since the last success.
    pub fn failures_in_row(&self) -> u32 {
        self.failures_in_row
    }
}
