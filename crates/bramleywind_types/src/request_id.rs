use std::fmt;

/// Identifies a request within the fleet, in logs and in the `x-request-id` response header.
///
/// ```
/// use bramleywind_types::RequestId;
///
/// assert_ne!(RequestId::random(), RequestId::random());
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(u64);

impl RequestId {
    /// Returns a new random id.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
