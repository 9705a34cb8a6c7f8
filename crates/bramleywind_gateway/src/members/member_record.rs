use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, IncarnationId, InstanceId};

use super::ProcessorCapacity;

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
    /// The processor capacity of the instance.
    pub capacity: ProcessorCapacity,
}

/// A [`MemberRecord`] of a build that does not state the capacity.
#[domain_type]
pub struct EarlierMemberRecord {
    instance: InstanceId,
    incarnation: IncarnationId,
    data_centre: DataCentreId,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
}

impl From<EarlierMemberRecord> for MemberRecord {
    fn from(earlier: EarlierMemberRecord) -> Self {
        let EarlierMemberRecord {
            instance,
            incarnation,
            data_centre,
            caller_address,
            peer_address,
        } = earlier;
        let capacity = ProcessorCapacity::default();
        Self { instance, incarnation, data_centre, caller_address, peer_address, capacity }
    }
}
