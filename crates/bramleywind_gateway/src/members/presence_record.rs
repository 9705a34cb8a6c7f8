use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::IncarnationId;

use super::{BootTime, fleet_clock::MIN_CLOCKS};
use crate::witness::WitnessRecord;

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
    /// The process that confirms the ceilings of the writer's spending; `None` if there was none.
    pub witness: Option<WitnessRecord>,
    /// Whether another process returns the writer's tokens. The ceilings are not raised any more.
    pub is_closed: bool,
    /// The time of writing by the clock that counts from the boot of the writer's instance, which no step of the time of day changes.
    pub boot_time: BootTime,
}

/// A [`PresenceRecord`] of a build that names no witness.
#[domain_type]
pub struct EarlierPresenceRecord {
    incarnation: IncarnationId,
    peer_address: SocketAddr,
    written_at_ms: Option<u64>,
}

impl From<EarlierPresenceRecord> for PresenceRecord {
    fn from(earlier: EarlierPresenceRecord) -> Self {
        let EarlierPresenceRecord { incarnation, peer_address, written_at_ms } = earlier;
        let boot_time = BootTime::default();
        Self {
            incarnation,
            peer_address,
            written_at_ms,
            witness: None,
            is_closed: false,
            boot_time,
        }
    }
}

impl PresenceRecord {
    /// Reports whether the record may be written in a fleet of `members` gateways. A record without a time is of no use to a
    /// successor, so it replaces none with a time; a fleet with too few clocks has no others.
    ///
    /// ```
    /// use bramleywind_gateway::members::{BootTime, PresenceRecord};
    /// use bramleywind_types::IncarnationId;
    ///
    /// let record = PresenceRecord {
    ///     incarnation: IncarnationId::from_number(1),
    ///     peer_address: "10.0.0.1:7340".parse().unwrap(),
    ///     written_at_ms: None,
    ///     witness: None,
    ///     is_closed: false,
    ///     boot_time: BootTime::default(),
    /// };
    /// assert!(!record.is_useful(6));
    /// assert!(record.is_useful(1));
    /// ```
    pub fn is_useful(&self, members: usize) -> bool {
        self.written_at_ms.is_some() || members < MIN_CLOCKS
    }
}
