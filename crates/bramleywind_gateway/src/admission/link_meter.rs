use std::time::{Duration, Instant};

use super::LinkRate;

/// The fraction of the link's rate that is left for the bytes of the process's messages. Packet headers and retransmissions
/// take the rest.
const PAYLOAD_FRACTION: f64 = 0.85;

/// The maximum delay that is counted, so that a burst does not close the instance for longer than it lasts.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// An estimate of how long a byte waits in one direction of the link, from the bytes that the process has carried.
///
/// A received byte has already passed the link, so its delay is that of a link that is somewhat slower: it grows while the
/// link is used to its limit.
///
/// ```
/// use std::time::{Duration, Instant};
/// use bramleywind_gateway::admission::{LinkMeter, LinkRate};
///
/// let start = Instant::now();
/// let mut meter = LinkMeter::new(LinkRate::from_megabits(10.0), start);
/// meter.record(106_250, start);
/// assert_eq!(meter.delay().as_millis(), 100);
/// meter.record(106_250, start + Duration::from_millis(40));
/// assert_eq!(meter.delay().as_millis(), 60);
/// ```
#[derive(Debug)]
pub struct LinkMeter {
    bytes_per_second: f64,
    queued_bytes: f64,
    total_bytes: u64,
    updated_at: Instant,
}

impl LinkMeter {
    /// Creates a meter of a link that is idle.
    pub fn new(rate: LinkRate, now: Instant) -> Self {
        Self {
            bytes_per_second: rate.bytes_per_second() * PAYLOAD_FRACTION,
            queued_bytes: 0.0,
            total_bytes: 0,
            updated_at: now,
        }
    }

    /// Records that the process has carried `total_bytes` since its start.
    pub fn record(&mut self, total_bytes: u64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let carried = total_bytes.saturating_sub(self.total_bytes) as f64;
        let left = (self.queued_bytes - elapsed * self.bytes_per_second).max(0.0);
        let max_bytes = MAX_DELAY.as_secs_f64() * self.bytes_per_second;
        self.queued_bytes = (left + carried).min(max_bytes);
        self.total_bytes = total_bytes;
        self.updated_at = now;
    }

    /// Returns how long a byte waits.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.queued_bytes / self.bytes_per_second)
    }
}
