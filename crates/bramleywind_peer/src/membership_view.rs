//! The peers as this router sees them. The types are only used together.

use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::InstanceId;

use crate::{Heartbeat, LinkFault, PeerState, PeerTraffic};

/// What this router knows of one peer.
#[domain_type]
pub struct PeerRecord {
    /// The last heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether the peer is alive.
    pub state: PeerState,
    /// Whether this router can send requests to the peer. A live peer that is not connected is cut off in one
    /// direction, or has just started.
    pub connected: bool,
    /// How long ago the last heartbeat came, in milliseconds.
    pub silent_ms: u64,
    /// The round trip of the last heartbeat that this router sent, in microseconds.
    pub round_trip_us: Option<u64>,
    /// Messages and bytes.
    pub traffic: PeerTraffic,
}

/// All peers that this router has heard of, without itself.
#[domain_type]
pub struct MembershipView {
    /// Grows with each change that listeners are told of.
    pub generation: u64,
    /// The peers.
    pub peers: BTreeMap<InstanceId, PeerRecord>,
    /// Connections that were refused before the peer was authenticated.
    pub refused_connections: u64,
    /// The fault that is set for tests.
    pub fault: LinkFault,
}

impl MembershipView {
    /// The peers that are alive.
    pub fn live(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(|record| record.state == PeerState::Live)
    }

    /// Whether a peer is known and alive.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.peers.get(instance).is_some_and(|record| record.state == PeerState::Live)
    }
}
