use std::time::{Duration, Instant};

use rand::Rng;

/// How long a change to the store is retried after conflicts and lost answers.
const RETRY_LIMIT: Duration = Duration::from_secs(10);
const FIRST_DELAY: Duration = Duration::from_millis(20);
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Spaces the attempts at one change by exponential delays with jitter, so that concurrent tools do not keep
/// colliding.
#[derive(Debug)]
pub(crate) struct RetrySchedule {
    deadline: Instant,
    delay: Duration,
}

impl RetrySchedule {
    /// Starts a schedule whose time limit begins now.
    pub(crate) fn start() -> Self {
        Self { deadline: Instant::now() + RETRY_LIMIT, delay: FIRST_DELAY }
    }

    /// Waits until the next attempt is due. Returns `false` at once if it would be past the time limit.
    pub(crate) async fn wait_for_attempt(&mut self) -> bool {
        let jittered = self.delay.mul_f64(rand::rng().random_range(0.5..1.0));
        if Instant::now() + jittered >= self.deadline {
            return false;
        }
        compio::time::sleep(jittered).await;
        self.delay = (self.delay * 2).min(MAX_DELAY);
        true
    }
}
