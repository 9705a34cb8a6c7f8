use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::IncarnationId;

/// A gateway's statement that it has spent no standby tokens so far. The record outlasts the process.
#[domain_type]
pub struct PresenceRecord {
    /// The incarnation of the process that wrote the record.
    pub incarnation: IncarnationId,
    /// The address at which other gateways reach the process.
    pub peer_address: SocketAddr,
    /// The time of writing, in Unix milliseconds of the [`FleetClock`](super::FleetClock); `None` if too few instances
    /// could be asked for their time.
    pub written_at_ms: Option<u64>,
}
