use std::time::{Duration, Instant};

/// How long a fleet must look smaller before the gateways divide its limits among fewer. It is twice the window in which retries are
/// counted.
const SHRINK_DELAY: Duration = Duration::from_secs(20);

/// The number of gateways among which a limit of the whole fleet is divided.
///
/// Gateways may have different lists. A list that has just become shorter, or that lacks the process that reads it, is no proof that the
/// others have ended, and each of them still uses its share.
#[derive(Debug, Default)]
pub(super) struct ShareCount {
    count: Option<usize>,
    /// The largest count since the present one began to look too large, and when that may replace it.
    smaller: Option<(usize, Instant)>,
}

impl ShareCount {
    /// Applies the count of an accepted list. A process that is not in the list divides among no fewer than before, and has no share
    /// before it was listed once.
    pub(super) fn update(&mut self, count: usize, is_own_listed: bool, now: Instant) {
        match self.count {
            None => self.count = is_own_listed.then_some(count),
            Some(known) if count >= known => {
                self.count = Some(count);
                self.smaller = None;
            }
            Some(_) if !is_own_listed => self.smaller = None,
            Some(_) => {
                let (largest, due) = self.smaller.unwrap_or((count, now + SHRINK_DELAY));
                let largest = largest.max(count);
                let is_due = now >= due;
                self.smaller = (!is_due).then_some((largest, due));
                if is_due {
                    self.count = Some(largest);
                }
            }
        }
    }

    /// Returns the number of gateways, or `None` if this process has no share yet.
    pub(super) fn get(&self) -> Option<usize> {
        self.count
    }
}
