//! What a router says about itself. The types are only used together.

use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{ConfigRevision, DataCentreId, IncarnationId, InstanceId};

/// The part of a heartbeat that the router knows and the connections do not.
#[domain_type]
pub struct RouterStatus {
    /// The incarnation under which the router now spends.
    pub incarnation: IncarnationId,
    /// Where it accepts callers.
    pub caller_address: SocketAddr,
    /// Its share of the traffic, relative to the other entries.
    pub weight: u32,
    /// Whether it is leaving and accepts no new callers.
    pub leaving: bool,
    /// The revision of the configuration in force, if there is one.
    pub revision: Option<ConfigRevision>,
}

/// What a router tells its peers about itself.
#[domain_type]
pub struct Heartbeat {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The incarnation that the process took when it started. It names the process as a witness.
    pub run: IncarnationId,
    /// Where the router runs.
    pub data_centre: DataCentreId,
    /// Where it accepts peers.
    pub peer_address: SocketAddr,
    /// The rest, which may change while the process runs.
    pub status: RouterStatus,
}
