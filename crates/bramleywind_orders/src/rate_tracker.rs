use std::time::{Duration, Instant};

use bramleywind_store::StoreVersion;

use crate::RateRecord;

/// Tracks the latest version of the rate record that this process has seen, and when it first saw it.
///
/// ```
/// use std::time::{Duration, Instant};
/// use bramleywind_orders::{PermitDecision, RateRecord, RateTracker};
/// use bramleywind_store::StoreVersion;
///
/// let (now, interval) = (Instant::now(), Duration::from_secs(10));
/// let mut tracker = RateTracker::default();
/// assert_eq!(tracker.permit_decision(interval, now), PermitDecision::Unread);
/// tracker.observe_record(RateRecord::default(), StoreVersion(4), now);
/// assert_eq!(tracker.permit_decision(interval, now), PermitDecision::Wait(now + interval));
/// let later = now + interval;
/// let take = PermitDecision::Take(RateRecord::default(), StoreVersion(4));
/// assert_eq!(tracker.permit_decision(interval, later), take);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RateTracker {
    seen: Option<SeenRecord>,
}

#[derive(Debug, Clone)]
struct SeenRecord {
    record: RateRecord,
    version: StoreVersion,
    seen_at: Instant,
}

/// The decision whether a permit may be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitDecision {
    /// A permit may be taken with a write that expects this version. The record is the latest one seen.
    Take(RateRecord, StoreVersion),
    /// No permit may be taken before this time.
    Wait(Instant),
    /// The record must be read first.
    Unread,
}

impl RateTracker {
    /// Stores a record that was read or written. `now` must be read after the store's answer arrived. A version
    /// that is already known keeps the time at which it was first seen.
    pub fn observe_record(&mut self, record: RateRecord, version: StoreVersion, now: Instant) {
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.seen = Some(SeenRecord { record, version, seen_at: now });
        }
    }

    /// Decides whether a permit may be taken.
    ///
    /// The write is applied only if the stored version is still the one seen, and a version is written before it
    /// is seen. Two permits are therefore at least `interval` apart, no matter which processes take them and how
    /// late a write is applied, and without relying on clocks of other instances.
    pub fn permit_decision(&self, interval: Duration, now: Instant) -> PermitDecision {
        match &self.seen {
            None => PermitDecision::Unread,
            Some(seen) if now >= seen.seen_at + interval => {
                PermitDecision::Take(seen.record.clone(), seen.version)
            }
            Some(seen) => PermitDecision::Wait(seen.seen_at + interval),
        }
    }
}
