use std::time::{Duration, Instant};

use bramleywind_harness::LocalFleet;
use serde_json::Value;

use crate::{MeasureResult, peer_traffic::PeerTraffic, process_sample::ProcessSample};

/// The pause after the state dumps of the routers, which cost processor time themselves.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// The kinds of calls that the store stand-in counts, as named in its counters.
const STORE_CALLS: [&str; 5] = ["reads", "writes", "watches", "lists", "lease_calls"];

/// The resource usage of a fleet at the start of a measured window.
#[derive(Debug)]
pub struct FleetWindow {
    traffic: Vec<PeerTraffic>,
    processes: Vec<ProcessSample>,
    store: Value,
    started_at: Instant,
}

/// The resource usage of a fleet during a window. Vectors hold one value for each router.
#[derive(Debug)]
pub struct FleetUsage {
    pub seconds: f64,
    /// The time between the two dumps of the first router, over which the peer traffic was counted.
    pub traffic_seconds: f64,
    /// Processor time during the window.
    pub processor_seconds: Vec<f64>,
    /// Peer messages, sent and received.
    pub messages_per_second: Vec<f64>,
    /// Peer bytes, sent and received.
    pub bytes_per_second: Vec<f64>,
    /// Resident memory at the end of the window.
    pub resident_bytes: Vec<f64>,
    /// Anonymous memory at the end of the window.
    pub anonymous_bytes: Vec<f64>,
    /// The live peers of the router that has the fewest.
    pub fewest_live_peers: usize,
    /// Protocol violations by peers since the routers started.
    pub violations: u64,
    store_before: Value,
    store_after: Value,
}

impl FleetWindow {
    /// Starts a window. It does not include the processor time of the dumps.
    pub async fn start(fleet: &LocalFleet) -> MeasureResult<Self> {
        let traffic = PeerTraffic::read_all(fleet).await?;
        compio::time::sleep(SETTLE_TIME).await;
        let store = fleet.store_counters().await?;
        let processes = sample_routers(fleet)?;
        Ok(Self { traffic, processes, store, started_at: Instant::now() })
    }

    /// Ends the window and returns the usage during it.
    pub async fn finish(self, fleet: &LocalFleet) -> MeasureResult<FleetUsage> {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let processes = sample_routers(fleet)?;
        let store_after = fleet.store_counters().await?;
        let traffic = PeerTraffic::read_all(fleet).await?;
        let rate = |of: fn(&PeerTraffic) -> f64| -> Vec<f64> {
            let pairs = self.traffic.iter().zip(&traffic);
            let per_second = |(before, after): (&PeerTraffic, &PeerTraffic)| {
                (of(after) - of(before)) / (after.taken_at - before.taken_at).as_secs_f64()
            };
            pairs.map(per_second).collect()
        };
        let pairs = self.processes.iter().zip(&processes);
        Ok(FleetUsage {
            seconds,
            traffic_seconds: (traffic[0].taken_at - self.traffic[0].taken_at).as_secs_f64(),
            processor_seconds: pairs
                .map(|(before, after)| after.processor_seconds - before.processor_seconds)
                .collect(),
            messages_per_second: rate(|traffic| traffic.messages),
            bytes_per_second: rate(|traffic| traffic.bytes),
            resident_bytes: processes.iter().map(|sample| sample.resident_bytes).collect(),
            anonymous_bytes: processes.iter().map(|sample| sample.anonymous_bytes).collect(),
            fewest_live_peers: traffic.iter().map(|traffic| traffic.live_peers).min().unwrap_or(0),
            violations: traffic.iter().map(|traffic| traffic.violations).sum(),
            store_before: self.store,
            store_after,
        })
    }
}

impl FleetUsage {
    /// Returns the number of calls of one kind that the store received.
    pub fn store_calls(&self, kind: &str) -> f64 {
        let count = |counters: &Value| counters[kind].as_f64().unwrap_or(0.0);
        count(&self.store_after) - count(&self.store_before)
    }

    /// Returns the number of calls of all kinds that the store received.
    pub fn all_store_calls(&self) -> f64 {
        STORE_CALLS.iter().map(|kind| self.store_calls(kind)).sum()
    }

    /// Returns the number of watches that were waiting at the end.
    pub fn waiting_watches(&self) -> f64 {
        self.store_after["waiting_watches"].as_f64().unwrap_or(0.0)
    }
}

/// Returns the mean of the values, or 0 if there are none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the largest of the values, none of which may be negative, or 0 if there are none.
pub fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn sample_routers(fleet: &LocalFleet) -> MeasureResult<Vec<ProcessSample>> {
    let samples = fleet.routers.iter().map(|router| ProcessSample::read(router.process.id()));
    Ok(samples.collect::<Result<_, _>>()?)
}
