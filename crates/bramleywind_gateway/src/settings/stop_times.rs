use std::time::Duration;

use bramleywind_macros::domain_type;

/// The timing of a planned stop, in times after the signal.
#[domain_type]
#[derive(Copy)]
pub struct StopTimes {
    /// When the process starts to refuse new requests.
    pub refuse_after: Duration,
    /// When the process stops waiting for open requests.
    pub end_after: Duration,
}
