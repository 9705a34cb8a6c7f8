use bramleywind_macros::domain_type;

/// State of a peer, derived from the heartbeats that arrive from it.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// A heartbeat arrived recently.
    Live,
    /// No heartbeat arrived for a while; the peer gets no new loans or keys.
    Suspect,
    /// No heartbeat arrived for so long that the peer is considered dead.
    Dead,
}
