use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::IncarnationId;

use super::fleet_clock::MIN_CLOCKS;

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

impl PresenceRecord {
    /// Reports whether the record may be written in a fleet of `members` gateways. A record without a time is of no use to a
    /// successor, so it replaces none with a time; a fleet with too few clocks has no others.
    ///
    /// ```
    /// use bramleywind_gateway::members::PresenceRecord;
    /// use bramleywind_types::IncarnationId;
    ///
    /// let record = PresenceRecord {
    ///     incarnation: IncarnationId::from_number(1),
    ///     peer_address: "10.0.0.1:7340".parse().unwrap(),
    ///     written_at_ms: None,
    /// };
    /// assert!(!record.is_useful(6));
    /// assert!(record.is_useful(1));
    /// ```
    pub fn is_useful(&self, members: usize) -> bool {
        self.written_at_ms.is_some() || members < MIN_CLOCKS
    }
}
