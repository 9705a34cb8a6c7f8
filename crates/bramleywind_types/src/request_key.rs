use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use crate::{IdempotencyKey, WorkspaceId};

/// An idempotency key together with its workspace, because two workspaces may use the same key.
///
/// ```
/// use bramleywind_types::RequestKey;
///
/// let key = RequestKey { workspace: "ferries".parse().unwrap(), key: "unlock-7".parse().unwrap() };
/// assert_eq!(key.to_string(), "ferries/unlock-7");
/// ```
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RequestKey {
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The key that the caller chose.
    pub key: IdempotencyKey,
}

impl RequestKey {
    /// Returns a hash that is the same in every process. It selects pages and is used in rendezvous hashing.
    pub fn hash64(&self) -> u64 {
        xxh3_64(self.to_string().as_bytes())
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}
