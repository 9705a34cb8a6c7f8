use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// How old this process's list of endpoints is.
///
/// The list is complete up to a moment: it contains every change of the registry that was made before. A change made since may
/// be missing, so the age of the list bounds how long an endpoint may have been leaving without this process knowing.
///
/// ```
/// use std::time::{Duration, Instant};
/// use bramleywind_gateway::endpoints::ListFreshness;
///
/// let (freshness, start) = (ListFreshness::default(), Instant::now());
/// assert_eq!(freshness.age(start), None);
/// freshness.confirm(start);
/// assert_eq!(freshness.age(start + Duration::from_secs(2)), Some(Duration::from_secs(2)));
/// ```
#[derive(Debug, Default)]
pub struct ListFreshness {
    complete_until: Cell<Option<Instant>>,
}

impl ListFreshness {
    /// Records that the list contains all changes made before `complete_until`. An earlier time than the known one has no effect.
    pub fn confirm(&self, complete_until: Instant) {
        self.complete_until.set(self.complete_until.get().max(Some(complete_until)));
    }

    /// The time up to which the list is complete; `None` before it was first read.
    pub fn complete_until(&self) -> Option<Instant> {
        self.complete_until.get()
    }

    /// Returns the age of the list; `None` before it was first read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_until.get().map(|until| now.saturating_duration_since(until))
    }
}
