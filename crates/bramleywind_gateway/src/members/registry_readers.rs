use std::net::SocketAddr;

/// The gateways that read the registry of endpoints from the store, and answer the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryReaders {
    /// Whether this process reads the registry from the store itself.
    pub is_own: bool,
    /// Whether it reads for others.
    pub is_relaying: bool,
    /// The addresses of the other gateways to ask, in order.
    pub others: Vec<SocketAddr>,
}
