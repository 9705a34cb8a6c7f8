//! The drain state machine. It is pure: the current time is an argument.

use std::time::{Duration, Instant};

use bramleywind_macros::domain_type;

/// The phase of a drain.
#[domain_type]
#[derive(Copy, Hash)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// No drain has begun, and requests are accepted.
    Live,
    /// The router is no longer listed in entry answers, but still accepts requests.
    Grace,
    /// New requests are refused while running ones finish.
    Finishing,
    /// All requests have ended, or the time for them has expired.
    Finished,
}

/// The deadlines of a drain, from which its phase follows.
///
/// ```
/// use std::time::{Duration, Instant};
/// use bramleywind_router::{DrainPhase, DrainState};
///
/// let now = Instant::now();
/// let mut drain = DrainState::default();
/// assert_eq!(drain.phase(now, 3), DrainPhase::Live);
/// assert!(drain.begin(now, Duration::from_secs(5), Duration::from_secs(60)));
/// assert_eq!(drain.phase(now, 3), DrainPhase::Grace);
/// assert_eq!(drain.phase(now + Duration::from_secs(6), 3), DrainPhase::Finishing);
/// assert_eq!(drain.phase(now + Duration::from_secs(6), 0), DrainPhase::Finished);
/// ```
#[derive(Debug, Default, Clone)]
pub struct DrainState {
    deadlines: Option<DrainDeadlines>,
}

#[derive(Debug, Clone)]
struct DrainDeadlines {
    grace: Instant,
    finish: Instant,
}

impl DrainState {
    /// Begins the drain. New requests are accepted for `grace`, since callers may not know of the drain yet; then
    /// running requests may finish within `bound`. Returns `false`, and keeps the deadlines, if the drain had
    /// begun before.
    pub fn begin(&mut self, now: Instant, grace: Duration, bound: Duration) -> bool {
        let is_first = self.deadlines.is_none();
        let grace = now + grace;
        self.deadlines.get_or_insert(DrainDeadlines { grace, finish: grace + bound });
        is_first
    }

    /// Returns whether the drain has begun.
    pub fn is_leaving(&self) -> bool {
        self.deadlines.is_some()
    }

    /// Returns the phase at `now` with the given number of running requests.
    pub fn phase(&self, now: Instant, running: usize) -> DrainPhase {
        match &self.deadlines {
            None => DrainPhase::Live,
            Some(deadlines) if now < deadlines.grace => DrainPhase::Grace,
            Some(deadlines) if running > 0 && now < deadlines.finish => DrainPhase::Finishing,
            Some(_) => DrainPhase::Finished,
        }
    }

    /// Returns when the router stops waiting for running requests; `None` before the drain.
    pub fn finish_deadline(&self) -> Option<Instant> {
        self.deadlines.as_ref().map(|deadlines| deadlines.finish)
    }
}
