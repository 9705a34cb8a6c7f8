//! Settings of the peer connections. The types are only used together.

use std::{net::SocketAddr, time::Duration};

use bramleywind_types::{DataCentreId, IncarnationId, InstanceId};

use crate::FleetSecret;

/// What the peer connections need to know when they start.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// The instance that this process runs on.
    pub instance: InstanceId,
    /// The incarnation that this process took when it started.
    pub run: IncarnationId,
    /// Where this process runs.
    pub data_centre: DataCentreId,
    /// The address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The address that peers should dial, if it is not the one that is listened on; port 0 stands for the port
    /// that is listened on.
    pub advertise: Option<SocketAddr>,
    /// Peers to dial from the start. One that is this process itself is ignored.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all routers share.
    pub secret: FleetSecret,
    /// Intervals and timeouts.
    pub timing: MeshTiming,
}

/// Intervals and timeouts of the peer connections.
///
/// The defaults are longer than those of published wide-area measurements, because a false detection seals a
/// router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeshTiming {
    /// Between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is suspect.
    pub suspect_after: Duration,
    /// Silence after which a peer is dead, and after which a connection is closed.
    pub dead_after: Duration,
    /// For connecting, and for the first messages of a connection.
    pub handshake_timeout: Duration,
    /// The longest delay between two attempts to connect.
    pub longest_reconnect_delay: Duration,
}

impl Default for MeshTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            suspect_after: Duration::from_millis(1_500),
            dead_after: Duration::from_millis(3_000),
            handshake_timeout: Duration::from_millis(2_000),
            longest_reconnect_delay: Duration::from_millis(2_000),
        }
    }
}
