use std::time::{Duration, Instant};

/// The longest time until which a caller is sent away. Few callers wait for longer.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Spreads the return of callers whose requests cannot be placed because all endpoints of a service limit theirs, so that
/// they come back at the rate at which they can be served.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnSchedule {
    last_return_at: Option<Instant>,
}

impl ReturnSchedule {
    /// Returns the delay for the next caller: not before `earliest`, and one caller after another at `per_second`.
    pub fn next_delay(&mut self, earliest: Instant, per_second: f64, now: Instant) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(MAX_DELAY);
        let next_turn = self.last_return_at.map_or(now, |last| last + interval.min(MAX_DELAY));
        let return_at = next_turn.max(earliest).min(now + MAX_DELAY);
        self.last_return_at = Some(return_at);
        return_at.saturating_duration_since(now)
    }
}
