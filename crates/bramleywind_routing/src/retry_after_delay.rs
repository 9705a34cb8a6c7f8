use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The shortest delay that a caller is told, in milliseconds.
const MIN_DELAY_MS: u64 = 200;

/// The longest delay that a caller is told, in milliseconds.
const MAX_DELAY_MS: u64 = 30_000;

/// Tells refused callers when to come back, spread so that they do not return together.
#[derive(Debug)]
pub struct RetryAfterDelay {
    random: SmallRng,
}

impl RetryAfterDelay {
    /// Delays whose draws follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }

    /// A delay between one and two times the expected time until there is room, in milliseconds.
    pub fn jittered_ms(&mut self, expected_ms: u64) -> u64 {
        let least = expected_ms.clamp(MIN_DELAY_MS, MAX_DELAY_MS / 2);
        self.random.random_range(least..=2 * least)
    }
}
