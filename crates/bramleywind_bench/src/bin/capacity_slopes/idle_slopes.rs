use std::time::{Duration, Instant};

use bramleywind_harness::{LocalFleet, wait_until};

use crate::{
    MeasureResult, fleet_shape,
    fleet_window::{FleetWindow, largest, mean},
    measurement_table::MeasurementTable,
    peer_traffic::PeerTraffic,
};

/// Numbers of engines of the engine part.
pub const ENGINE_COUNTS: [usize; 4] = [0, 8, 24, 48];

/// How long the connections may take until each router has heard of all others.
const CONNECT_LIMIT: Duration = Duration::from_secs(60);

/// How long the fleet rests before a window, so that registrations and the first listings are over.
const SETTLE: Duration = Duration::from_secs(4);

/// How long the routers go on working on a configuration after it is in force, at most.
const AFTERMATH: Duration = Duration::from_secs(3);

/// How many configurations are applied, of which the slowest counts.
const APPLIED: u64 = 3;

/// Measures idle routers with two engines, and the time until a configuration is in force in all of them.
pub async fn measure(
    table: &mut MeasurementTable,
    routers: usize,
    window: Duration,
) -> MeasureResult<()> {
    let started = Instant::now();
    let mut fleet = LocalFleet::start(fleet_shape::plan(routers, 2, 0)?).await?;
    fleet.apply(&fleet_shape::document(Some(&fleet), 10, 10, 0)?).await?;
    wait_for_mesh(&fleet, routers).await?;
    table.add("idle", routers, "connected_s", started.elapsed().as_secs_f64());
    compio::time::sleep(SETTLE).await;
    let begun = FleetWindow::begin(&fleet).await?;
    compio::time::sleep(window).await;
    let used = begun.end(&fleet).await?;
    let percent: Vec<f64> =
        used.processor.iter().map(|seconds| 100.0 * seconds / used.seconds).collect();
    let mut add = |quantity, value| table.add("idle", routers, quantity, value);
    add("processor_percent_mean", mean(&percent));
    add("processor_percent_max", largest(&percent));
    add("resident_mb_mean", mean(&used.resident) / 1e6);
    add("anonymous_mb_mean", mean(&used.anonymous) / 1e6);
    add("anonymous_mb_max", largest(&used.anonymous) / 1e6);
    add("peer_messages_per_s", mean(&used.messages));
    add("peer_kb_per_s", mean(&used.bytes) / 1e3);
    add("store_calls_per_s", used.all_store_calls() / used.seconds);
    add("store_waiting_watches", used.waiting_watches());
    add("live_peers_fewest", used.fewest_live as f64);
    add("peer_violations", used.violations as f64);
    let idle_load = mean(&used.processor) / used.seconds;
    measure_in_force(table, &mut fleet, idle_load).await
}

/// Measures six idle routers with the given number of engines, which each router polls.
pub async fn measure_engines(
    table: &mut MeasurementTable,
    engines: usize,
    window: Duration,
) -> MeasureResult<()> {
    let routers = 6;
    let mut fleet = LocalFleet::start(fleet_shape::plan(routers, engines, 0)?).await?;
    fleet.apply(&fleet_shape::document(Some(&fleet), 10, 10, 0)?).await?;
    wait_for_mesh(&fleet, routers).await?;
    compio::time::sleep(SETTLE).await;
    let begun = FleetWindow::begin(&fleet).await?;
    compio::time::sleep(window).await;
    let used = begun.end(&fleet).await?;
    let percent = 100.0 * mean(&used.processor) / used.seconds;
    table.add("engines", engines, "processor_percent_mean", percent);
    table.add("engines", engines, "anonymous_mb_mean", mean(&used.anonymous) / 1e6);
    Ok(())
}

/// Waits until each router has heard of all others.
pub async fn wait_for_mesh(fleet: &LocalFleet, routers: usize) -> MeasureResult<()> {
    for index in 0..routers {
        wait_until("a router hears all others", CONNECT_LIMIT, || async {
            let traffic = PeerTraffic::of(fleet, index).await.ok()?;
            (traffic.live_peers + 1 >= routers).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Measures the time until the last router has a configuration in force: from the start of the tool, and from
/// its end, when the store had certainly accepted. The routers are asked one after the other, so the times are
/// too long by at most the calls of one round, about a millisecond for each router.
async fn measure_in_force(
    table: &mut MeasurementTable,
    fleet: &mut LocalFleet,
    idle_load: f64,
) -> MeasureResult<()> {
    let routers = fleet.routers.len();
    let (mut from_start, mut from_end): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
    let begun = FleetWindow::begin(fleet).await?;
    for note in 1..=APPLIED {
        let document = fleet_shape::document(Some(fleet), 10, 10, note)?;
        let text = serde_json::to_string_pretty(&document)?;
        let started = Instant::now();
        let revision = fleet.submit_text(&text)?;
        let accepted = Instant::now();
        for index in 0..routers {
            fleet.wait_for_revision(index, revision).await?;
        }
        from_start.push(started.elapsed().as_secs_f64());
        from_end.push(accepted.elapsed().as_secs_f64());
    }
    compio::time::sleep(AFTERMATH).await;
    let used = begun.end(fleet).await?;
    let milliseconds = |seconds: f64| 1e3 * (seconds - idle_load * used.seconds) / APPLIED as f64;
    let mut add = |quantity, value| table.add("idle", routers, quantity, value);
    add("in_force_s_from_tool_start_max", largest(&from_start));
    add("in_force_s_from_tool_end_max", largest(&from_end));
    add("change_processor_ms_mean", milliseconds(mean(&used.processor)));
    // A peer that lives and is taken for dead costs it its incarnation.
    let is_death = |line: &&str| line.contains("peer is dead");
    let deaths = fleet
        .routers
        .iter()
        .map(|router| router.process.output().lines().filter(is_death).count() as f64);
    add("false_deaths", deaths.sum());
    Ok(())
}
