use std::time::Instant;

use bramleywind_types::TokenCount;

/// The length of the window, whose total decides the size of grants.
const WINDOW_SECONDS: usize = 10;

/// The tokens used in the last ten seconds, in buckets of one second.
#[derive(Debug, Clone)]
pub(crate) struct UsageWindow {
    origin: Instant,
    newest_second: u64,
    buckets: [u64; WINDOW_SECONDS],
}

impl UsageWindow {
    /// Returns an empty window that starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self { origin: now, newest_second: 0, buckets: [0; WINDOW_SECONDS] }
    }

    pub(crate) fn add(&mut self, now: Instant, tokens: TokenCount) {
        self.clear_expired_buckets(now);
        let index = self.newest_second as usize % WINDOW_SECONDS;
        self.buckets[index] = self.buckets[index].saturating_add(tokens.0);
    }

    pub(crate) fn total(&mut self, now: Instant) -> TokenCount {
        self.clear_expired_buckets(now);
        TokenCount(self.buckets.iter().fold(0, |sum, bucket| sum.saturating_add(*bucket)))
    }

    /// Moves the window to `now` and clears the buckets of the seconds that have passed.
    fn clear_expired_buckets(&mut self, now: Instant) {
        let second = now.saturating_duration_since(self.origin).as_secs();
        for passed in (self.newest_second + 1..=second).rev().take(WINDOW_SECONDS) {
            self.buckets[passed as usize % WINDOW_SECONDS] = 0;
        }
        self.newest_second = self.newest_second.max(second);
    }
}
