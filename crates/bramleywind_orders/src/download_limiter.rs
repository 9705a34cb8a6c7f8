use std::time::{Duration, Instant};

use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::FencingToken;

use crate::{PermitDecision, RateRecord, RateTracker};

/// The longest time from taking a permit to the write of its order, whatever the interval is.
const MAX_PERMIT_VALIDITY: Duration = Duration::from_secs(2);

/// The permit to cause one download.
#[derive(Debug, PartialEq, Eq)]
pub struct DownloadPermit {
    /// The order must not be written after this, so that permits cannot be hoarded by a pause: in any time
    /// `t`, at most `t / interval + 2` orders are written.
    pub valid_until: Instant,
}

/// What asking for a permit came to.
#[derive(Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// This process has one.
    Taken(DownloadPermit),
    /// The rate allows none yet, or another process was faster.
    Wait,
    /// The store gave no answer. If a write was sent, it may take a permit that nobody uses.
    Unavailable,
}

/// Takes permits from the fleet-wide rate record.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_orders::{PermitOutcome, DownloadLimiter};
/// use bramleywind_store::MemoryStore;
/// use bramleywind_types::FencingToken;
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let mut limiter = DownloadLimiter::new(MemoryStore::new(), Duration::from_secs(10));
///     // The first call reads the record, from which on the interval counts.
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
    /// Permits that are `interval` apart in the whole fleet.
    pub fn new(store: S, interval: Duration) -> Self {
        Self { store, interval, tracker: RateTracker::default() }
    }

    /// The key of the rate record.
    pub fn key() -> StoreKey {
        StoreKey::from_text("duties/weights")
    }

    /// Asks for a permit: no call while the rate allows none, otherwise a write, and a read if the record may
    /// have changed.
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
                    // A permit that may be taken is not used: whether it is shows in the version only, and
                    // the write may still be on its way.
                    WriteOutcome::NotApplied(_) => PermitOutcome::Unavailable,
                    WriteOutcome::Unknown => {
                        self.read_record().await;
                        PermitOutcome::Unavailable
                    }
                }
            }
        }
    }

    /// Reads the record, from which on the interval counts if it is new.
    pub async fn read_record(&mut self) -> PermitOutcome {
        let (record, version) = match self.store.read(&Self::key()).await {
            ReadOutcome::Found(found) => match serde_json::from_slice(&found.value) {
                Ok(record) => (record, found.version),
                // A record that nobody can read is counted on from zero; the version still spaces permits.
                Err(_) => (RateRecord::default(), found.version),
            },
            ReadOutcome::Missing => (RateRecord::default(), StoreVersion::MISSING),
            ReadOutcome::Unavailable(_) => return PermitOutcome::Unavailable,
        };
        self.tracker.observe_record(record, version, Instant::now());
        PermitOutcome::Wait
    }
}
