use std::net::SocketAddr;

use bramleywind_macros::domain_type;

/// The addresses on which the process listens.
#[domain_type]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub readiness: SocketAddr,
    /// Callers' queries for the list of gateways.
    pub entries: SocketAddr,
    /// Requests of other gateways.
    pub peers: SocketAddr,
    /// Metrics and the state dump.
    pub metrics: SocketAddr,
}
