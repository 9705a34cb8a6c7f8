use std::time::{Duration, Instant};

use bramleywind_store::UnavailableReason;
use slog::{Logger, info, warn};

/// The delay after the first failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// The maximum delay between failed calls. A change of an endpoint must be known within two seconds of the store's
/// return.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Tracks whether the store answers one kind of call, and how long to wait between retries.
#[derive(Debug)]
pub(crate) struct DependencyTracker {
    dependency: &'static str,
    log: Logger,
    lost_at: Option<Instant>,
    delay: Duration,
}

impl DependencyTracker {
    pub(crate) fn new(dependency: &'static str, log: &Logger) -> Self {
        Self { dependency, log: log.clone(), lost_at: None, delay: INITIAL_DELAY }
    }

    /// Records a successful call. Returns when the dependency was lost if this call regains it.
    pub(crate) fn record_success(&mut self) -> Option<Instant> {
        self.delay = INITIAL_DELAY;
        let lost_at = self.lost_at.take()?;
        info!(self.log, "dependency regained"; "dependency" => self.dependency,
            "lost_for_ms" => u64::try_from(lost_at.elapsed().as_millis()).unwrap_or(u64::MAX));
        Some(lost_at)
    }

    /// Records a failed call, and waits before the next one.
    pub(crate) async fn back_off(&mut self, reason: UnavailableReason) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!(self.log, "dependency lost"; "dependency" => self.dependency, "reason" => ?reason);
        }
        // The delay has jitter, so that the processes do not call at the same time.
        compio::time::sleep(self.delay.mul_f64(rand::random_range(0.5..1.0))).await;
        self.delay = (self.delay * 2).min(MAX_DELAY);
    }
}
