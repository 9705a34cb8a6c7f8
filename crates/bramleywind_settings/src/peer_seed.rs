use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, InstanceId};

/// A router that this one connects to when it starts.
#[domain_type]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Where the instance is.
    pub data_centre: DataCentreId,
    /// Where it accepts peers.
    pub peer_address: SocketAddr,
}
