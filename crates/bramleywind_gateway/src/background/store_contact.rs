use std::time::{Duration, Instant};

use bramleywind_store::UnavailableReason;
use slog::{Logger, info, warn};

/// The pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between failed calls. A change of an endpoint must be known within two seconds of the store's
/// return.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Whether the store answers one kind of calls, and when to try again.
#[derive(Debug)]
pub(crate) struct DependencyTracker {
    dependency: &'static str,
    log: Logger,
    lost_at: Option<Instant>,
    pause: Duration,
}

impl DependencyTracker {
    pub(crate) fn new(dependency: &'static str, log: &Logger) -> Self {
        Self { dependency, log: log.clone(), lost_at: None, pause: FIRST_PAUSE }
    }

    /// Notes an answer. Returns when the contact was lost, if it is back with this answer.
    pub(crate) fn note_answer(&mut self) -> Option<Instant> {
        self.pause = FIRST_PAUSE;
        let lost_at = self.lost_at.take()?;
        info!(self.log, "dependency regained"; "dependency" => self.dependency,
            "lost_for_ms" => u64::try_from(lost_at.elapsed().as_millis()).unwrap_or(u64::MAX));
        Some(lost_at)
    }

    /// Notes a failed call, and waits before the next one.
    pub(crate) async fn pause_after(&mut self, reason: UnavailableReason) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!(self.log, "dependency lost"; "dependency" => self.dependency, "reason" => ?reason);
        }
        // Spread, so that the processes do not call together.
        compio::time::sleep(self.pause.mul_f64(rand::random_range(0.5..1.0))).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
