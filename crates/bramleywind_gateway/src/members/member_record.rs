use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, IncarnationId, InstanceId};

/// The entry of a gateway in the member list.
#[domain_type]
pub struct MemberRecord {
    /// The instance that the gateway runs on.
    pub instance: InstanceId,
    /// The incarnation of its process.
    pub incarnation: IncarnationId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The address to which callers connect.
    pub caller_address: SocketAddr,
    /// The address at which other gateways ask for loans.
    pub peer_address: SocketAddr,
}
