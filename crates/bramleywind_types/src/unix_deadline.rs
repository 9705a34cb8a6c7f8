use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in time that processes exchange, in milliseconds since the Unix epoch.
///
/// It is used only for retention times and for what callers cache. No safety rule depends on it, because the clocks
/// of different instances disagree.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_types::UnixDeadline;
///
/// let deadline = UnixDeadline::after(Duration::from_secs(60));
/// assert!(!deadline.has_passed());
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
pub struct UnixDeadline(pub u64);

impl UnixDeadline {
    /// Returns the deadline that is `delay` from now.
    pub fn after(delay: Duration) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self((now + delay).as_millis() as u64)
    }

    /// Returns true if the deadline is in the past.
    pub fn has_passed(self) -> bool {
        Self::after(Duration::ZERO) >= self
    }
}
