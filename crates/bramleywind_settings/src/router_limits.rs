use std::time::Duration;

/// Bounds on what one request or one stop may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct RouterLimits {
    /// The largest request header, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send its request.
    pub request_read_timeout: Duration,
    /// How long a request may take from its last byte to the end of its response, waiting included.
    pub request_timeout: Duration,
    /// How many requests wait for a free slot at one router; more are refused.
    pub queue_length: usize,
    /// How long a draining router still accepts requests. Callers keep an entry answer for 5 s.
    pub drain_grace: Duration,
    /// How long a draining router finishes its requests for after the grace.
    pub drain_bound: Duration,
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            request_read_timeout: Duration::from_secs(10),
            // Equal to the drain bound, so that a planned stop interrupts no request.
            request_timeout: Duration::from_secs(60),
            queue_length: 256,
            drain_grace: Duration::from_secs(5),
            drain_bound: Duration::from_secs(60),
        }
    }
}
