use std::time::Duration;

use bramleywind_macros::domain_type;

/// What callers may send, and how long they may take.
#[domain_type]
#[derive(Copy)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits for the time before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_time: Duration::from_secs(15),
        }
    }
}
