use std::time::{Duration, Instant};

use bramleywind_harness::{LocalFleet, wait_until};

use crate::{
    MeasureResult, fleet_shape,
    fleet_window::{FleetWindow, largest, mean},
    measurement_table::MeasurementTable,
    peer_traffic::PeerTraffic,
};

/// The numbers of engines for which idle routers are measured.
pub const ENGINE_COUNTS: [usize; 4] = [0, 8, 24, 48];

/// How long it may take until each router considers all others live.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(60);

/// The pause before a measured window, in which registrations and the first listings end.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The maximum time for which routers still work on a configuration after it is in force.
const CONFIG_WORK_TIME: Duration = Duration::from_secs(3);

/// The number of configurations that are applied. The time of the slowest is reported.
const APPLIED_CONFIGS: u64 = 3;

/// Measures idle routers with two engines, and the time until a configuration is in force on all routers.
pub async fn measure(
    table: &mut MeasurementTable,
    routers: usize,
    window: Duration,
) -> MeasureResult<()> {
    let started_at = Instant::now();
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(routers, 2, 0)?).await?;
    fleet.apply(&fleet_shape::config_document(Some(&fleet), 10, 10, 0)?).await?;
    wait_for_full_mesh(&fleet, routers).await?;
    table.add("idle", routers, "connected_s", started_at.elapsed().as_secs_f64());
    compio::time::sleep(SETTLE_TIME).await;
    let fleet_window = FleetWindow::start(&fleet).await?;
    compio::time::sleep(window).await;
    let usage = fleet_window.finish(&fleet).await?;
    let percent: Vec<f64> =
        usage.processor_seconds.iter().map(|seconds| 100.0 * seconds / usage.seconds).collect();
    let mut add = |quantity, value| table.add("idle", routers, quantity, value);
    add("processor_percent_mean", mean(&percent));
    add("processor_percent_max", largest(&percent));
    add("resident_mb_mean", mean(&usage.resident_bytes) / 1e6);
    add("anonymous_mb_mean", mean(&usage.anonymous_bytes) / 1e6);
    add("anonymous_mb_max", largest(&usage.anonymous_bytes) / 1e6);
    add("peer_messages_per_s", mean(&usage.messages_per_second));
    add("peer_kb_per_s", mean(&usage.bytes_per_second) / 1e3);
    add("store_calls_per_s", usage.all_store_calls() / usage.seconds);
    add("store_waiting_watches", usage.waiting_watches());
    add("live_peers_fewest", usage.fewest_live_peers as f64);
    add("peer_violations", usage.violations as f64);
    let idle_load = mean(&usage.processor_seconds) / usage.seconds;
    measure_config_change(table, &mut fleet, idle_load).await
}

/// Measures six idle routers with the given number of engines, each of which every router polls.
pub async fn measure_engines(
    table: &mut MeasurementTable,
    engines: usize,
    window: Duration,
) -> MeasureResult<()> {
    let routers = 6;
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(routers, engines, 0)?).await?;
    fleet.apply(&fleet_shape::config_document(Some(&fleet), 10, 10, 0)?).await?;
    wait_for_full_mesh(&fleet, routers).await?;
    compio::time::sleep(SETTLE_TIME).await;
    let fleet_window = FleetWindow::start(&fleet).await?;
    compio::time::sleep(window).await;
    let usage = fleet_window.finish(&fleet).await?;
    let percent = 100.0 * mean(&usage.processor_seconds) / usage.seconds;
    table.add("engines", engines, "processor_percent_mean", percent);
    table.add("engines", engines, "anonymous_mb_mean", mean(&usage.anonymous_bytes) / 1e6);
    Ok(())
}

/// Waits until each router considers all others live.
pub async fn wait_for_full_mesh(fleet: &LocalFleet, routers: usize) -> MeasureResult<()> {
    for index in 0..routers {
        wait_until("a router hears from all others", CONNECT_TIMEOUT, || async {
            let traffic = PeerTraffic::read(fleet, index).await.ok()?;
            (traffic.live_peers + 1 >= routers).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Measures the time until a configuration is in force on the last router, both from the start of the operator's tool
/// and from its end, by which the store has accepted the configuration. The routers are queried one after the other, so
/// the times are too long by up to one call to each router, about a millisecond each.
async fn measure_config_change(
    table: &mut MeasurementTable,
    fleet: &mut LocalFleet,
    idle_load: f64,
) -> MeasureResult<()> {
    let routers = fleet.routers.len();
    let (mut from_start, mut from_end): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
    let fleet_window = FleetWindow::start(fleet).await?;
    for extra_tokens in 1..=APPLIED_CONFIGS {
        let document = fleet_shape::config_document(Some(fleet), 10, 10, extra_tokens)?;
        let text = serde_json::to_string_pretty(&document)?;
        let started_at = Instant::now();
        let revision = fleet.submit_text(&text)?;
        let accepted_at = Instant::now();
        for index in 0..routers {
            fleet.wait_for_revision(index, revision).await?;
        }
        from_start.push(started_at.elapsed().as_secs_f64());
        from_end.push(accepted_at.elapsed().as_secs_f64());
    }
    compio::time::sleep(CONFIG_WORK_TIME).await;
    let usage = fleet_window.finish(fleet).await?;
    let milliseconds =
        |seconds: f64| 1e3 * (seconds - idle_load * usage.seconds) / APPLIED_CONFIGS as f64;
    let mut add = |quantity, value| table.add("idle", routers, quantity, value);
    add("in_force_s_from_tool_start_max", largest(&from_start));
    add("in_force_s_from_tool_end_max", largest(&from_end));
    add("change_processor_ms_mean", milliseconds(mean(&usage.processor_seconds)));
    // A live router that its peers consider dead loses its incarnation.
    let is_death_report = |line: &&str| line.contains("peer is dead");
    let deaths = fleet
        .routers
        .iter()
        .map(|router| router.process.output().lines().filter(is_death_report).count() as f64);
    add("false_deaths", deaths.sum());
    Ok(())
}
