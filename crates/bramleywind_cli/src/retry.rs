use std::time::{Duration, Instant};

use rand::Rng;

/// How long a change of the store is retried for after conflicts and lost answers.
const RETRY_LIMIT: Duration = Duration::from_secs(10);
const FIRST_DELAY: Duration = Duration::from_millis(20);
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Spaces the attempts of one change with jittered exponential delays, so that racing tools do not collide
/// again and again.
#[derive(Debug)]
pub(crate) struct RetrySchedule {
    deadline: Instant,
    delay: Duration,
}

impl RetrySchedule {
    pub(crate) fn start() -> Self {
        Self { deadline: Instant::now() + RETRY_LIMIT, delay: FIRST_DELAY }
    }

    /// Waits before the next attempt. Returns whether there is to be one.
    pub(crate) async fn wait(&mut self) -> bool {
        let jittered = self.delay.mul_f64(rand::rng().random_range(0.5..1.0));
        if Instant::now() + jittered >= self.deadline {
            return false;
        }
        compio::time::sleep(jittered).await;
        self.delay = (self.delay * 2).min(MAX_DELAY);
        true
    }
}
