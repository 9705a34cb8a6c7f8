//! Snapshot of the peers as this router sees them.

use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::InstanceId;

use crate::{Heartbeat, LinkFault, PeerState, PeerTraffic};

/// The state of one peer as this router knows it.
#[domain_type]
pub struct PeerRecord {
    /// The last heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether the peer is considered alive.
    pub state: PeerState,
    /// Whether this router can send requests to the peer. A live peer that is not connected has just started,
    /// or is cut off in one direction.
    pub connected: bool,
    /// Time since the last heartbeat, in milliseconds.
    pub silent_ms: u64,
    /// The round-trip time of the last heartbeat that this router sent, in microseconds.
    pub round_trip_us: Option<u64>,
    /// Messages and bytes exchanged with the peer.
    pub traffic: PeerTraffic,
}

/// All peers known to this router, without itself.
#[domain_type]
pub struct MembershipView {
    /// Incremented with each change that listeners are notified of.
    pub generation: u64,
    /// The peers, by instance.
    pub peers: BTreeMap<InstanceId, PeerRecord>,
    /// Accepted connections that were refused, or ended, before the peer was authenticated.
    pub refused_connections: u64,
    /// The fault that a test has injected.
    pub fault: LinkFault,
}

impl MembershipView {
    /// Returns the peers that are alive.
    pub fn live(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(|record| record.state == PeerState::Live)
    }

    /// Returns whether a peer is known and alive.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.peers.get(instance).is_some_and(|record| record.state == PeerState::Live)
    }
}
