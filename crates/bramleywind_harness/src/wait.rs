use std::time::{Duration, Instant};

use crate::FleetError;

/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `check` until it returns a value, for at most `limit`.
///
/// # Errors
///
/// [`FleetError::Timeout`] with `condition` as its description.
pub async fn wait_until<T, F: Future<Output = Option<T>>>(
    condition: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) -> Result<T, FleetError> {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = check().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(FleetError::Timeout { condition: condition.into() });
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
