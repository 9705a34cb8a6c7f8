use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The shortest delay, in milliseconds.
const MIN_DELAY_MS: u64 = 200;

/// The longest delay, in milliseconds.
const MAX_DELAY_MS: u64 = 30_000;

/// Draws the delays after which refused callers should retry, with jitter so that they do not all return at once.
#[derive(Debug)]
pub struct RetryAfterDelay {
    random: SmallRng,
}

impl RetryAfterDelay {
    /// Creates a source of delays whose random draws are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }

    /// Draws a delay between one and two times the expected time until a request can be accepted, in milliseconds.
    pub fn jittered_ms(&mut self, expected_ms: u64) -> u64 {
        let least = expected_ms.clamp(MIN_DELAY_MS, MAX_DELAY_MS / 2);
        self.random.random_range(least..=2 * least)
    }
}
