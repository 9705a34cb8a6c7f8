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

/// Numbers of routers of the request part.
pub const ROUTER_COUNTS: [usize; 3] = [6, 24, 48];

/// Requests of each kind, all at the first router, and how many of them run at once.
const REQUESTS: usize = 4_000;
const CONCURRENT_REQUESTS: usize = 16;

/// What makes one kind of request differ from the others.
#[derive(Debug, Clone, Copy)]
pub enum RequestKind {
    /// A model call without a key: reservation, journal and settlement.
    Unkeyed,
    /// A model call with a key: the key homes besides.
    Keyed,
    /// A service call that must not be repeated: a durable claim in the store.
    Claimed,
}

/// The kinds, and the parts of the table in which they stand.
pub const REQUEST_KINDS: [(RequestKind, &str); 3] = [
    (RequestKind::Unkeyed, "unkeyed"),
    (RequestKind::Keyed, "keyed"),
    (RequestKind::Claimed, "claimed"),
];

/// Measures what one request costs the router that serves it and all others together, less what the routers
/// use when idle.
pub async fn measure(
    table: &mut MeasurementTable,
    routers: usize,
    window: Duration,
) -> MeasureResult<()> {
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(routers, 4, 2)?).await?;
    fleet.apply(&fleet_shape::config_document(Some(&fleet), 1, 1, 0)?).await?;
    wait_for_full_mesh(&fleet, routers).await?;
    // The first requests take a grant and register the witnesses.
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

fn add_costs(
    table: &mut MeasurementTable,
    name: &'static str,
    idle: &FleetUsage,
    usage: &FleetUsage,
) {
    let requests = REQUESTS as f64;
    let processor = |router: usize| {
        let background = idle.processor[router] / idle.seconds * usage.seconds;
        1e6 * (usage.processor[router] - background) / requests
    };
    // Each message is counted by its sender and by its receiver. The window of the traffic is longer than the
    // other one by the rest and the dumps, over which its rates are spread.
    let traffic_seconds = usage.traffic_seconds;
    let sum = |rates: &[f64]| rates.iter().sum::<f64>() * traffic_seconds / 2.0;
    let extra = |of: fn(&FleetUsage) -> &[f64]| (sum(of(usage)) - sum(of(idle))) / requests;
    let routers = usage.processor.len();
    let mut add = |quantity, value| table.add(name, routers, quantity, value);
    add("seconds", usage.seconds);
    add("processor_us_of_serving_router", processor(0));
    add("processor_us_of_all_others", (1..routers).map(processor).sum());
    add("peer_messages_per_request", extra(|usage| &usage.messages));
    add("peer_bytes_per_request", extra(|usage| &usage.bytes));
    let idle_writes = idle.store_calls("writes") / idle.seconds * usage.seconds;
    add("store_writes_per_request", (usage.store_calls("writes") - idle_writes) / requests);
    let idle_calls = idle.all_store_calls() / idle.seconds * usage.seconds;
    add("store_calls_per_request", (usage.all_store_calls() - idle_calls) / requests);
}

/// Sends requests of a kind to the first router, a fixed number at once.
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
