use std::time::Duration;

use bramleywind_settings::RouterLimits;

/// What a caller may send and how long things may take.
///
/// They are arguments of the router rather than constants so that tests can reach them quickly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest header section, in bytes of names and values.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send its request.
    pub read_time: Duration,
    /// How long a request may take in all. A caller's own deadline may only be shorter.
    pub total_time: Duration,
    /// How long a caller may leave a piece of its answer unread.
    pub write_time: Duration,
    /// How long a connection to an endpoint may take.
    pub connect_time: Duration,
    /// How long an endpoint may be silent before its first byte.
    pub first_byte_time: Duration,
    /// How long an endpoint may be silent between two pieces of an answer.
    pub idle_time: Duration,
    /// The largest answer of a plain service, in bytes. Such answers are held in memory until they are
    /// whole, so that a broken one can be retried.
    pub service_answer_bytes: usize,
    /// How long a draining router still accepts requests.
    pub drain_grace: Duration,
    /// How long a draining router finishes its requests for after the grace.
    pub drain_bound: Duration,
}

impl RequestLimits {
    /// The limits that the settings name, with fixed ones for endpoints and for writing.
    pub fn from_settings(settings: &RouterLimits) -> Self {
        Self {
            header_bytes: settings.header_bytes,
            body_bytes: settings.body_bytes,
            read_time: settings.request_read_timeout,
            total_time: settings.request_timeout,
            // A caller on a slow link reads a piece of a few KB within this time.
            write_time: Duration::from_secs(20),
            connect_time: Duration::from_secs(1),
            first_byte_time: Duration::from_secs(30),
            // Far above the 80 ms between tokens that callers are promised.
            idle_time: Duration::from_secs(10),
            service_answer_bytes: 4 * 1024 * 1024,
            drain_grace: settings.drain_grace,
            drain_bound: settings.drain_bound,
        }
    }
}
