use std::net::SocketAddr;

use crate::rate_limits::IssuerRole;

/// The gateways that issue permits for requests to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitIssuers {
    /// The role of this process.
    pub own_role: IssuerRole,
    /// Whether this process is the one that the others ask first.
    pub is_own_first: bool,
    /// The other gateways to ask, in order, before this process uses a role of its own.
    pub others: Vec<SocketAddr>,
}
