use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, IncarnationId, InstanceId};

/// What a gateway says of itself to the others.
#[domain_type]
pub struct MemberRecord {
    /// The instance that it runs on.
    pub instance: InstanceId,
    /// This run of its process.
    pub incarnation: IncarnationId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other gateways ask for loans.
    pub peer_address: SocketAddr,
}
