use std::time::{Duration, Instant};

use bramleywind_types::InstanceId;

use crate::{ReclaimObstacle, SealReport, WitnessId, retry_delay::RetryDelay};

/// The delays after a close at which all pages are scanned again for grants to the sealed incarnation that
/// took effect late. Store calls end within seconds, so the second scan is for a store outage in between.
const RESCAN_DELAYS: [Duration; 2] = [Duration::from_secs(15), Duration::from_secs(60)];
/// How long a report is kept after a close, to close slices that appear even later on pages that are read
/// for other reasons.
const REPORT_RETENTION: Duration = Duration::from_secs(120);

/// A reclaim that is not complete.
#[derive(Debug)]
pub(crate) struct ReclaimTask {
    pub(crate) instance: InstanceId,
    /// The final witnesses, once the member record is known to be sealed.
    pub(crate) witnesses: Option<Vec<WitnessId>>,
    /// The spending of the incarnation, once it is known.
    pub(crate) report: Option<SealReport>,
    pub(crate) in_flight: bool,
    pub(crate) retry: RetryDelay,
    pub(crate) attempts: u64,
    pub(crate) obstacle: Option<ReclaimObstacle>,
}

/// The report of an incarnation whose slices are being closed or were closed recently.
#[derive(Debug)]
pub(crate) struct ClosingReport {
    pub(crate) instance: InstanceId,
    pub(crate) report: SealReport,
    /// When the slices on all pages were closed for the first time.
    pub(crate) closed_at: Option<Instant>,
    pub(crate) rescans_done: usize,
}

impl ReclaimTask {
    pub(crate) fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            witnesses: None,
            report: None,
            in_flight: false,
            retry: RetryDelay::default(),
            attempts: 0,
            obstacle: None,
        }
    }
}

impl ClosingReport {
    /// Reports whether the next rescan is due, and counts it as done if so.
    pub(crate) fn take_due_rescan(&mut self, now: Instant) -> bool {
        let (Some(closed_at), Some(delay)) = (self.closed_at, RESCAN_DELAYS.get(self.rescans_done))
        else {
            return false;
        };
        let is_due = now.duration_since(closed_at) >= *delay;
        self.rescans_done += usize::from(is_due);
        is_due
    }

    /// Reports whether all rescans are done and the report is no longer needed.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        self.rescans_done == RESCAN_DELAYS.len()
            && self.closed_at.is_some_and(|instant| now.duration_since(instant) >= REPORT_RETENTION)
    }
}
