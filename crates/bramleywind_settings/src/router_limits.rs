use std::time::Duration;

/// The limits on the size and duration of requests, and on the duration of draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct RouterLimits {
    /// The maximum size of a request header, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time that a caller may take to send its request.
    pub request_read_timeout: Duration,
    /// The maximum time from the last byte of a request to the end of its response, including time in the queue.
    pub request_timeout: Duration,
    /// The maximum number of requests that wait for a free slot at one router. Further requests are rejected.
    pub queue_length: usize,
    /// The time during which a draining router still accepts requests. Callers cache the answer of an entry for 5 s.
    pub drain_grace: Duration,
    /// The maximum time after the grace period in which a draining router finishes its requests.
    pub drain_bound: Duration,
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            request_read_timeout: Duration::from_secs(10),
            // Equal to the drain bound, so that a planned shutdown does not interrupt requests.
            request_timeout: Duration::from_secs(60),
            queue_length: 256,
            drain_grace: Duration::from_secs(5),
            drain_bound: Duration::from_secs(60),
        }
    }
}
