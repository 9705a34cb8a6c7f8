//! What the tests of ports share.

use std::time::Duration;

use bramleywind_http::HeadLimits;

/// Limits that no request of the tests reaches.
pub fn limits() -> HeadLimits {
    HeadLimits {
        read_time: Duration::from_secs(30),
        header_bytes: 16 * 1_024,
        timeout_response: Vec::new,
    }
}
