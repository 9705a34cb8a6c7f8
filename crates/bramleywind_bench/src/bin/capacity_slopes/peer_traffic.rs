use std::time::Instant;

use bramleywind_harness::{FleetError, LocalFleet};

/// The traffic between a router and all its peers since it started, in both directions.
#[derive(Debug, Clone, Copy)]
pub struct PeerTraffic {
    pub taken_at: Instant,
    pub messages: f64,
    pub bytes: f64,
    pub live_peers: usize,
    pub violations: u64,
}

impl PeerTraffic {
    /// Reads the traffic from the state dump of a router.
    pub async fn read(fleet: &LocalFleet, index: usize) -> Result<Self, FleetError> {
        let dump = fleet.dump(index).await?;
        let mut traffic = Self {
            taken_at: Instant::now(),
            messages: 0.0,
            bytes: 0.0,
            live_peers: 0,
            violations: 0,
        };
        for peer in dump["peers"]["peers"].as_object().into_iter().flat_map(|peers| peers.values())
        {
            let count = |name: &str| peer["traffic"][name].as_u64().unwrap_or(0);
            traffic.messages += (count("messages_in") + count("messages_out")) as f64;
            traffic.bytes += (count("bytes_in") + count("bytes_out")) as f64;
            traffic.violations += count("violations");
            traffic.live_peers += usize::from(peer["state"].as_str() == Some("live"));
        }
        Ok(traffic)
    }

    /// Reads the traffic of all routers.
    pub async fn read_all(fleet: &LocalFleet) -> Result<Vec<Self>, FleetError> {
        let mut all = Vec::new();
        for index in 0..fleet.routers.len() {
            all.push(Self::read(fleet, index).await?);
        }
        Ok(all)
    }
}
