use std::time::Duration;

use bramleywind_harness::LocalFleet;
use futures_util::future::try_join_all;
use serde_json::json;

use crate::{
    MeasureResult, fleet_shape,
    fleet_window::{FleetUsage, FleetWindow},
    idle_slopes::wait_for_full_mesh,
    measurement_table::MeasurementTable,
};

/// The numbers of routers for which the cost of requests is measured.
pub const ROUTER_COUNTS: [usize; 3] = [6, 24, 48];

/// The number of requests of each kind, all sent to the first router.
const REQUESTS: usize = 4_000;

/// The number of requests in flight.
const CONCURRENT_REQUESTS: usize = 16;

/// A kind of request, by the work that it causes.
#[derive(Debug, Clone, Copy)]
pub enum RequestKind {
    /// A model call without an idempotency key: reservation, journal and settlement.
    Unkeyed,
    /// A model call with an idempotency key, which also goes through the homes of the key.
    Keyed,
    /// A service call that must not be repeated, which takes a durable claim in the store.
    Claimed,
}

/// The kinds of requests, with their part names in the table.
pub const REQUEST_KINDS: [(RequestKind, &str); 3] = [
    (RequestKind::Unkeyed, "unkeyed"),
    (RequestKind::Keyed, "keyed"),
    (RequestKind::Claimed, "claimed"),
];

/// Measures the cost of one request for the router that serves it and for all other routers together, without what the
/// routers use when idle.
pub async fn measure(
    table: &mut MeasurementTable,
    routers: usize,
    window: Duration,
) -> MeasureResult<()> {
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(routers, 4, 2)?).await?;
    fleet.apply(&fleet_shape::config_document(Some(&fleet), 1, 1, 0)?).await?;
    wait_for_full_mesh(&fleet, routers).await?;
    // The first requests take a grant and register the witnesses, which is not part of the cost of a request.
    send_requests(&fleet, RequestKind::Unkeyed, "warm", CONCURRENT_REQUESTS).await?;
    compio::time::sleep(Duration::from_secs(4)).await;
    let fleet_window = FleetWindow::start(&fleet).await?;
    compio::time::sleep(window).await;
    let idle = fleet_window.finish(&fleet).await?;
    for (kind, name) in REQUEST_KINDS {
        let fleet_window = FleetWindow::start(&fleet).await?;
        send_requests(&fleet, kind, name, REQUESTS).await?;
        let usage = fleet_window.finish(&fleet).await?;
        add_costs(table, name, &idle, &usage);
    }
    Ok(())
}

/// Adds the costs per request to the table, after subtracting those of the idle routers.
fn add_costs(
    table: &mut MeasurementTable,
    name: &'static str,
    idle: &FleetUsage,
    usage: &FleetUsage,
) {
    let requests = REQUESTS as f64;
    let processor = |router: usize| {
        let background = idle.processor_seconds[router] / idle.seconds * usage.seconds;
        1e6 * (usage.processor_seconds[router] - background) / requests
    };
    // Each message is counted by its sender and by its receiver. The traffic rates are means over a window that is
    // longer than that of the processor time by the pause and the dumps.
    let traffic_seconds = usage.traffic_seconds;
    let sum = |rates: &[f64]| rates.iter().sum::<f64>() * traffic_seconds / 2.0;
    let extra = |of: fn(&FleetUsage) -> &[f64]| (sum(of(usage)) - sum(of(idle))) / requests;
    let routers = usage.processor_seconds.len();
    let mut add = |quantity, value| table.add(name, routers, quantity, value);
    add("seconds", usage.seconds);
    add("processor_us_of_serving_router", processor(0));
    add("processor_us_of_all_others", (1..routers).map(processor).sum());
    add("peer_messages_per_request", extra(|usage| &usage.messages_per_second));
    add("peer_bytes_per_request", extra(|usage| &usage.bytes_per_second));
    let idle_writes = idle.store_calls("writes") / idle.seconds * usage.seconds;
    add("store_writes_per_request", (usage.store_calls("writes") - idle_writes) / requests);
    let idle_calls = idle.all_store_calls() / idle.seconds * usage.seconds;
    add("store_calls_per_request", (usage.all_store_calls() - idle_calls) / requests);
}

/// Sends requests of one kind to the first router, with a fixed number in flight.
async fn send_requests(
    fleet: &LocalFleet,
    kind: RequestKind,
    label: &str,
    requests: usize,
) -> MeasureResult<()> {
    let workers = (0..CONCURRENT_REQUESTS).map(|worker| async move {
        for number in (worker..requests).step_by(CONCURRENT_REQUESTS) {
            send_request(fleet, kind, &format!("{label}-{number}")).await?;
        }
        Ok::<(), Box<dyn std::error::Error>>(())
    });
    try_join_all(workers).await.map(|_| ())
}

async fn send_request(fleet: &LocalFleet, kind: RequestKind, key: &str) -> MeasureResult<()> {
    let address = fleet.routers[0].caller_address;
    let bearer = format!("Bearer {}", fleet_shape::bearer_key(0));
    let mut headers = vec![("authorization", bearer.as_str())];
    if !matches!(kind, RequestKind::Unkeyed) {
        headers.push(("idempotency-key", key));
    }
    let (path, body) = match kind {
        RequestKind::Claimed => ("/services/lockers/unlock", json!({ "bay": 1 })),
        RequestKind::Unkeyed | RequestKind::Keyed => {
            let messages = json!([{ "role": "user", "content": key }]);
            let body = json!({ "model": fleet_shape::MODEL, "max_tokens": 8, "stream": false,
                "messages": messages });
            ("/v1/chat/completions", body)
        }
    };
    let answer =
        fleet.caller.post_json(&format!("http://{address}{path}"), &headers, &body).await?;
    if !answer.status.is_success() {
        return Err(format!("request `{key}` was refused: {}", answer.json()).into());
    }
    Ok(())
}
