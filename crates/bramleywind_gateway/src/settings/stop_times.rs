use std::time::Duration;

use bramleywind_macros::domain_type;

/// How a planned stop goes on, as times after the signal.
#[domain_type]
#[derive(Copy)]
pub struct StopTimes {
    /// When new requests are refused.
    pub refuse_after: Duration,
    /// When the process ends at the latest.
    pub end_after: Duration,
}
