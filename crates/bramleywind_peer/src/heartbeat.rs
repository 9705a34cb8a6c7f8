//! The heartbeat by which a router announces itself to its peers.

use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{ConfigRevision, DataCentreId, IncarnationId, InstanceId};

/// The part of a heartbeat that the router supplies; the rest is known to the connections.
#[domain_type]
pub struct RouterStatus {
    /// The incarnation under which the router spends at present.
    pub incarnation: IncarnationId,
    /// The address on which the router accepts callers.
    pub caller_address: SocketAddr,
    /// The router's share of the traffic, relative to the other entries.
    pub weight: u32,
    /// Whether the router is leaving and accepts no new callers.
    pub leaving: bool,
    /// The revision of the configuration in force, if there is one.
    pub revision: Option<ConfigRevision>,
}

/// A heartbeat, which a router sends to its peers.
#[domain_type]
pub struct Heartbeat {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The incarnation that the process took when it started. It identifies the process as a witness.
    pub run: IncarnationId,
    /// The data centre that the router runs in.
    pub data_centre: DataCentreId,
    /// The address on which the router accepts peers.
    pub peer_address: SocketAddr,
    /// The status, which may change while the process runs.
    pub status: RouterStatus,
}
