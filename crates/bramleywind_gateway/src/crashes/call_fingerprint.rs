use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::{ServiceId, WorkspaceId};
use http::{Method, Uri};

use super::RequestHash;

/// Identifies copies of a request at any gateway: the same caller sends the same method, path and body to the same
/// service.
#[domain_type]
#[derive(PartialOrd, Ord, Hash)]
pub struct CallFingerprint {
    /// The workspace of the caller, if the route requires a key.
    pub workspace: Option<WorkspaceId>,
    /// The hash of the service and the request.
    pub hash: RequestHash,
}

impl CallFingerprint {
    /// Returns the fingerprint of a request to a service.
    ///
    /// ```
    /// use bramleywind_gateway::crashes::CallFingerprint;
    /// use http::{Method, Uri};
    ///
    /// let service = "orders".parse().unwrap();
    /// let target = Uri::from_static("/orders/new");
    /// let first = CallFingerprint::of(None, &service, &Method::POST, &target, b"{}");
    /// let repeated = CallFingerprint::of(None, &service, &Method::POST, &target, b"{}");
    /// assert_eq!(first, repeated);
    /// ```
    pub fn of(
        workspace: Option<WorkspaceId>,
        service: &ServiceId,
        method: &Method,
        target: &Uri,
        body: &[u8],
    ) -> Self {
        let path = target.path().as_bytes();
        let query = target.query().unwrap_or_default().as_bytes();
        let parts = [service.as_str().as_bytes(), method.as_str().as_bytes(), path, query, body];
        Self { workspace, hash: RequestHash::of(&parts) }
    }

    /// Returns a shorter hash of the workspace and the request, for rendezvous hashing and sets.
    pub fn short_hash(&self) -> u64 {
        let workspace = self.workspace.as_ref().map_or("", |workspace| workspace.as_str());
        self.hash.seeded(workspace.as_bytes())
    }
}

impl fmt::Display for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.workspace {
            Some(workspace) => write!(f, "{workspace}/{}", self.hash),
            None => write!(f, "/{}", self.hash),
        }
    }
}
