use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, InstanceId};

/// A router that this router connects to at startup.
#[domain_type]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The address on which the router accepts connections from peers.
    pub peer_address: SocketAddr,
}
