use std::net::SocketAddr;

use bramleywind_macros::domain_type;

/// Where the process listens.
#[domain_type]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's question whether the process takes callers.
    pub readiness: SocketAddr,
    /// For callers' question which gateways to use.
    pub entries: SocketAddr,
    /// For other gateways.
    pub peers: SocketAddr,
    /// For metrics and the state dump.
    pub metrics: SocketAddr,
}
