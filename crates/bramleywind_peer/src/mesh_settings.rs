//! Settings of the peer connections.

use std::{net::SocketAddr, time::Duration};

use bramleywind_types::{DataCentreId, IncarnationId, InstanceId};

use crate::FleetSecret;

/// Settings that the peer connections need at startup.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// The instance that this process runs on.
    pub instance: InstanceId,
    /// The incarnation that this process took when it started.
    pub run: IncarnationId,
    /// The data centre that this process runs in.
    pub data_centre: DataCentreId,
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address that peers should dial, if it differs from the one that is listened on. Port 0 stands for
    /// the port that is listened on.
    pub advertise: Option<SocketAddr>,
    /// Peers to dial from the start. The address of this process itself is ignored.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all routers share.
    pub secret: FleetSecret,
    /// Intervals and timeouts.
    pub timing: MeshTiming,
}

/// Intervals and timeouts of the peer connections.
///
/// The defaults are longer than those of published wide-area measurements, because a false detection of a
/// failure seals a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeshTiming {
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is considered suspect.
    pub suspect_after: Duration,
    /// Silence after which a peer is considered dead and its connection is closed.
    pub dead_after: Duration,
    /// Time limit for connecting, and for the handshake of a connection.
    pub handshake_timeout: Duration,
    /// Upper bound of the delay between two connection attempts.
    pub max_reconnect_delay: Duration,
}

impl Default for MeshTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            suspect_after: Duration::from_millis(1_500),
            dead_after: Duration::from_millis(3_000),
            handshake_timeout: Duration::from_millis(2_000),
            max_reconnect_delay: Duration::from_millis(2_000),
        }
    }
}
