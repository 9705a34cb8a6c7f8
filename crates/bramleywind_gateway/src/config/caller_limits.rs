use std::time::Duration;

use bramleywind_macros::domain_type;

/// Limits on callers' requests and connections.
#[domain_type]
#[derive(Copy)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may be idle before it is closed.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before a configuration is loaded.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_time: Duration::from_secs(15),
        }
    }
}
