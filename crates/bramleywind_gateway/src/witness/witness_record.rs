use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId};

/// The process that confirms the ceilings up to which another one spends tokens of its grants.
#[domain_type]
pub struct WitnessRecord {
    /// The instance of the witness.
    pub instance: InstanceId,
    /// The incarnation of its process. A successor does not know the ceilings.
    pub incarnation: IncarnationId,
    /// The address at which other gateways reach it.
    pub peer_address: SocketAddr,
}
