//! Whether this router is leaving, and how far. Pure: the present is an argument.

use std::time::{Duration, Instant};

use bramleywind_macros::domain_type;

/// What the router does at present.
#[domain_type]
#[derive(Copy, Hash)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// Accepts requests.
    Live,
    /// Is missing from the entry answers, and still accepts requests.
    Grace,
    /// Refuses new requests, and finishes running ones.
    Finishing,
    /// Is done with its requests, or has run out of time for them.
    Finished,
}

/// The state of a drain.
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
    /// Begins the drain: `grace` for requests of callers that have not heard of it, then `bound` for the
    /// running ones. Returns whether it had not begun before; a second signal changes no deadline.
    pub fn begin(&mut self, now: Instant, grace: Duration, bound: Duration) -> bool {
        let is_first = self.deadlines.is_none();
        let grace = now + grace;
        self.deadlines.get_or_insert(DrainDeadlines { grace, finish: grace + bound });
        is_first
    }

    /// Whether the drain has begun.
    pub fn is_leaving(&self) -> bool {
        self.deadlines.is_some()
    }

    /// The phase at `now` with this many running requests.
    pub fn phase(&self, now: Instant, running: usize) -> DrainPhase {
        match &self.deadlines {
            None => DrainPhase::Live,
            Some(deadlines) if now < deadlines.grace => DrainPhase::Grace,
            Some(deadlines) if running > 0 && now < deadlines.finish => DrainPhase::Finishing,
            Some(_) => DrainPhase::Finished,
        }
    }

    /// When the router exits in any case.
    pub fn finish_deadline(&self) -> Option<Instant> {
        self.deadlines.as_ref().map(|deadlines| deadlines.finish)
    }
}
