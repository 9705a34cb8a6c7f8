use std::time::{Duration, Instant};

use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::FencingToken;

use crate::{PermitDecision, RateRecord, RateTracker};

/// The maximum time from taking a permit to the write of its order, also if the interval is longer.
const MAX_PERMIT_VALIDITY: Duration = Duration::from_secs(2);

/// A permit to send one order that causes a download.
#[derive(Debug, PartialEq, Eq)]
pub struct DownloadPermit {
    /// The latest time at which the order may be written. Without it, a pause could accumulate permits. With it,
    /// at most `t / interval + 2` orders are written in any period `t`.
    pub valid_until: Instant,
}

/// The outcome of an attempt to take a permit.
#[derive(Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// This process took a permit.
    Taken(DownloadPermit),
    /// No permit is available yet, or another process took it first.
    Wait,
    /// The store gave no answer. A write that was sent may still take a permit, which then stays unused.
    Unavailable,
}

/// Limits the downloads of the whole fleet by taking permits from the shared [`RateRecord`].
///
/// ```
/// use std::time::Duration;
/// use bramleywind_orders::{PermitOutcome, DownloadLimiter};
/// use bramleywind_store::MemoryStore;
/// use bramleywind_types::FencingToken;
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let mut limiter = DownloadLimiter::new(MemoryStore::new(), Duration::from_secs(10));
///     // The first call only reads the record. The interval starts then.
///     assert_eq!(limiter.take_permit("entry-1", FencingToken(1)).await, PermitOutcome::Wait);
/// });
/// ```
#[derive(Debug)]
pub struct DownloadLimiter<S> {
    store: S,
    interval: Duration,
    tracker: RateTracker,
}

impl<S: Store> DownloadLimiter<S> {
    /// Creates a limiter whose permits are at least `interval` apart in the whole fleet.
    pub fn new(store: S, interval: Duration) -> Self {
        Self { store, interval, tracker: RateTracker::default() }
    }

    /// Returns the store key of the rate record.
    pub fn key() -> StoreKey {
        StoreKey::from_text("duties/weights")
    }

    /// Tries to take a permit. Makes no call while the rate permits none. Otherwise writes the record, and reads
    /// it if it is not known yet or may have changed.
    pub async fn take_permit(&mut self, holder: &str, fencing: FencingToken) -> PermitOutcome {
        match self.tracker.permit_decision(self.interval, Instant::now()) {
            PermitDecision::Wait(_) => PermitOutcome::Wait,
            PermitDecision::Unread => self.read_record().await,
            PermitDecision::Take(last, version) => {
                let record = RateRecord { taken: last.taken + 1, holder: holder.into(), fencing };
                let sent_at = Instant::now();
                let value = serde_json::to_vec(&record).unwrap_or_default();
                match self.store.write(&Self::key(), value, version).await {
                    WriteOutcome::Applied(version) => {
                        self.tracker.observe_record(record, version, Instant::now());
                        let valid_until = sent_at + self.interval.min(MAX_PERMIT_VALIDITY);
                        PermitOutcome::Taken(DownloadPermit { valid_until })
                    }
                    WriteOutcome::Conflict => self.read_record().await,
                    // A permit that may have been taken is not used. Only the version shows whether it was, and
                    // the write may still be in flight.
                    WriteOutcome::NotApplied(_) => PermitOutcome::Unavailable,
                    WriteOutcome::Unknown => {
                        self.read_record().await;
                        PermitOutcome::Unavailable
                    }
                }
            }
        }
    }

    /// Reads the record. The interval starts anew if its version was not seen before.
    pub async fn read_record(&mut self) -> PermitOutcome {
        let (record, version) = match self.store.read(&Self::key()).await {
            ReadOutcome::Found(found) => match serde_json::from_slice(&found.value) {
                Ok(record) => (record, found.version),
                // An unreadable record restarts the count at zero. Its version still spaces the permits.
                Err(_) => (RateRecord::default(), found.version),
            },
            ReadOutcome::Missing => (RateRecord::default(), StoreVersion::MISSING),
            ReadOutcome::Unavailable(_) => return PermitOutcome::Unavailable,
        };
        self.tracker.observe_record(record, version, Instant::now());
        PermitOutcome::Wait
    }
}
