use std::time::{Duration, Instant};

use bramleywind_store::StoreVersion;

use crate::RateRecord;

/// What a process knows of the rate record.
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

/// Whether a permit may be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitDecision {
    /// It may, by a write that expects this version. The record is the last one.
    Take(RateRecord, StoreVersion),
    /// Not before this time.
    Wait(Instant),
    /// The record was not read yet.
    Unread,
}

impl RateTracker {
    /// Takes in a read. `now` is a time after its answer. A version that was seen before keeps its time.
    pub fn observe_record(&mut self, record: RateRecord, version: StoreVersion, now: Instant) {
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.seen = Some(SeenRecord { record, version, seen_at: now });
        }
    }

    /// Decides whether a permit may be taken.
    ///
    /// The write takes effect only if the version is still the one seen, which was written before it was
    /// seen. So two permits are at least `interval` apart, whoever takes them and however late a write takes
    /// effect, and no clock of another instance matters.
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
