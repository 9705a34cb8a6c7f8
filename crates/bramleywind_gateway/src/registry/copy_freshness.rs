use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// How old this process's copy of something in the store is: of the list of endpoints, or of the configuration.
///
/// The copy is complete up to a moment: it contains every change that was made before. A change made since may be missing.
///
/// ```
/// use std::time::{Duration, Instant};
/// use bramleywind_gateway::registry::CopyFreshness;
///
/// let (freshness, start) = (CopyFreshness::default(), Instant::now());
/// assert_eq!(freshness.age(start), None);
/// freshness.confirm(start);
/// assert_eq!(freshness.age(start + Duration::from_secs(2)), Some(Duration::from_secs(2)));
/// ```
#[derive(Debug, Default)]
pub struct CopyFreshness {
    complete_until: Cell<Option<Instant>>,
}

impl CopyFreshness {
    /// Records that the copy contains all changes made before `complete_until`. An earlier time than the known one has no effect.
    pub fn confirm(&self, complete_until: Instant) {
        self.complete_until.set(self.complete_until.get().max(Some(complete_until)));
    }

    /// The time up to which the copy is complete; `None` before it was first read.
    pub fn complete_until(&self) -> Option<Instant> {
        self.complete_until.get()
    }

    /// Returns the age of the copy; `None` before it was first read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_until.get().map(|until| now.saturating_duration_since(until))
    }
}
