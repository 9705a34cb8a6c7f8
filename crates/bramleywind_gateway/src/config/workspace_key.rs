use std::fmt;

/// A secret by which a caller authenticates. Its `Debug` form does not contain the secret.
#[derive(Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(Box<str>);

impl WorkspaceKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for WorkspaceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WorkspaceKey(hidden)")
    }
}
