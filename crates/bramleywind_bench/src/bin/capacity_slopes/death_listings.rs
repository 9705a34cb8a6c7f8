use std::time::{Duration, Instant};

use bramleywind_harness::{LocalFleet, ProcessSignal};
use http::Method;

use crate::{
    MeasureResult, fleet_shape, idle_slopes::wait_for_full_mesh,
    measurement_table::MeasurementTable,
};

const ROUTERS: usize = 6;

/// The times after the death at which the listings are counted, in seconds.
const SAMPLE_TIMES_S: [u64; 6] = [10, 30, 60, 120, 180, 240];

/// Counts how often the surviving routers list records in the store after an idle router died. The first survivor
/// also lists the member records every ten seconds.
pub async fn measure(table: &mut MeasurementTable) -> MeasureResult<()> {
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(ROUTERS, 0, 0)?).await?;
    fleet.apply(&fleet_shape::config_document(Some(&fleet), 1, 1, 0)?).await?;
    wait_for_full_mesh(&fleet, ROUTERS).await?;
    compio::time::sleep(Duration::from_secs(4)).await;
    let before = count_listings(&fleet).await?;
    fleet.routers[0].process.signal(ProcessSignal::Kill);
    let killed_at = Instant::now();
    for seconds in SAMPLE_TIMES_S {
        let size = usize::try_from(seconds)?;
        compio::time::sleep_until(killed_at + Duration::from_secs(seconds)).await;
        table.add("listings", size, "survivors_lists", count_listings(&fleet).await? - before);
    }
    Ok(())
}

/// Returns the number of listings by all routers but the first, from their metrics.
async fn count_listings(fleet: &LocalFleet) -> MeasureResult<f64> {
    let mut count = 0.0;
    for router in &fleet.routers[1..] {
        let url = format!("http://{}/metrics", router.operator_address);
        let headers = fleet.operator_headers();
        let answer = fleet.caller.call(Method::GET, &url, &headers, Vec::new()).await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let is_list = |line: &&str| {
            line.starts_with("bramleywind_store_calls_total") && line.contains("call=\"list\"")
        };
        let values = text.lines().filter(is_list).filter_map(|line| line.rsplit(' ').next());
        count += values.filter_map(|value| value.parse::<f64>().ok()).sum::<f64>();
    }
    Ok(count)
}
