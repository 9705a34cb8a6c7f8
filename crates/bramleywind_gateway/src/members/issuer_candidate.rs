use std::net::SocketAddr;

use bramleywind_types::InstanceId;

/// A gateway that may issue permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct IssuerCandidate {
    pub instance: InstanceId,
    pub is_serving: bool,
    /// The address at which it is asked; `None` for this process.
    pub peer_address: Option<SocketAddr>,
}

impl IssuerCandidate {
    /// Returns whether this is this process.
    pub(super) fn is_own(&self) -> bool {
        self.peer_address.is_none()
    }
}
