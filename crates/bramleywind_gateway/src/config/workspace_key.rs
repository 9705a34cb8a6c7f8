use std::fmt;

/// A secret that a caller presents. It is never printed.
#[derive(Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(Box<str>);

impl WorkspaceKey {
    /// The key with the given text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for WorkspaceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WorkspaceKey(hidden)")
    }
}
