//! Clocks that continue across restarts of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time of day in Unix milliseconds, which may jump.
pub fn unix_millis() -> u64 {
    // A clock before 1970 counts as 1970.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since the instance was booted, including the time during which it was suspended.
pub fn boot_millis() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let millis = time.tv_sec.saturating_mul(1_000).saturating_add(time.tv_nsec / 1_000_000);
    u64::try_from(millis).unwrap_or_default()
}
