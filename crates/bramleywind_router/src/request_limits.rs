use std::time::Duration;

use bramleywind_settings::RouterLimits;

/// Limits on the size of requests and on the time that their steps may take.
///
/// These are parameters of the router rather than constants so that tests can reach them quickly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of the header section, in bytes of names and values.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a caller may take to send its request.
    pub read_time: Duration,
    /// Maximum total time of a request. A caller's own deadline may only be shorter.
    pub total_time: Duration,
    /// Maximum time that a caller may leave a chunk of its answer unread.
    pub write_time: Duration,
    /// Maximum time for connecting to an endpoint.
    pub connect_time: Duration,
    /// Maximum time that an endpoint may be silent before its first byte.
    pub first_byte_time: Duration,
    /// Maximum time that an endpoint may be silent between two chunks of an answer.
    pub idle_time: Duration,
    /// Maximum size of a plain service's answer, in bytes. Such answers are held in memory until they are
    /// complete, so that a broken one can be retried.
    pub service_answer_bytes: usize,
    /// How long a draining router still accepts requests.
    pub drain_grace: Duration,
    /// How long after the grace period a draining router finishes its running requests.
    pub drain_bound: Duration,
}

impl RequestLimits {
    /// Returns the limits from the settings, with fixed limits for endpoints and for writing.
    pub fn from_settings(settings: &RouterLimits) -> Self {
        Self {
            header_bytes: settings.header_bytes,
            body_bytes: settings.body_bytes,
            read_time: settings.request_read_timeout,
            total_time: settings.request_timeout,
            // Enough for a caller on a slow link to read a chunk of a few KB.
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
