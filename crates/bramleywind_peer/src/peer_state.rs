use bramleywind_macros::domain_type;

/// Whether a peer is alive, by the heartbeats that arrive from it.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// A heartbeat came recently.
    Live,
    /// No heartbeat came for a while; the peer gets no new loans or keys.
    Suspect,
    /// No heartbeat came for so long that the peer counts as dead.
    Dead,
}
