use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use bramleywind_harness::{LocalFleet, ProcessSignal};
use bramleywind_ledger::BudgetPage;
use bramleywind_store::{HttpStore, ListOutcome, Store as _, StoreKey};
use bramleywind_types::IncarnationId;
use serde_json::json;

use crate::{
    MeasureResult, fleet_shape, idle_slopes::wait_for_full_mesh,
    measurement_table::MeasurementTable,
};

/// The groups of routers that are killed together. Every fifth router is in the first data centre.
pub const KILLED_GROUPS: [(&str, &[usize]); 3] =
    [("loss-one", &[0]), ("loss-rack", &[0, 5]), ("loss-centre", &[0, 5, 10, 15])];

/// Four routers in each of the five data centres.
const ROUTERS: usize = 20;

/// The number of budgets, each of which is used at one router.
const BUDGETS: usize = 200;

/// How long a call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// How often the budget pages are listed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the measurement waits for slices to be closed: the target for those that can be.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The open slices of some incarnations, and the tokens granted to them.
#[derive(Debug, Clone, Copy)]
struct OpenSlices {
    count: usize,
    granted: u64,
}

/// Kills a group of routers at once and measures how many of their slices are closed, and when.
pub async fn measure(
    table: &mut MeasurementTable,
    part: &'static str,
    group: &[usize],
) -> MeasureResult<()> {
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(ROUTERS, 4, 0)?).await?;
    let store = HttpStore::new(fleet.store_address, CALL_TIMEOUT)?;
    fleet.apply(&fleet_shape::config_document(Some(&fleet), 1, BUDGETS, 0)?).await?;
    wait_for_full_mesh(&fleet, ROUTERS).await?;
    compio::time::sleep(Duration::from_secs(4)).await;
    let mut killed_incarnations: BTreeSet<IncarnationId> = BTreeSet::new();
    for index in group {
        let status = fleet.status(*index).await?;
        killed_incarnations.insert(status["incarnation"].as_str().unwrap_or_default().parse()?);
    }
    for budget in 0..BUDGETS {
        let router = &fleet.routers[budget % ROUTERS];
        let url = format!("http://{}/v1/chat/completions", router.caller_address);
        let bearer = format!("Bearer {}", fleet_shape::bearer_key(budget));
        let messages = json!([{ "role": "user", "content": "hello" }]);
        let body = json!({ "model": fleet_shape::MODEL, "max_tokens": 2, "stream": false,
            "messages": messages });
        let headers = [("authorization", bearer.as_str())];
        let answer = fleet.caller.post_json(&url, &headers, &body).await?;
        if !answer.status.is_success() {
            return Err(format!("budget {budget} was refused: {}", answer.json()).into());
        }
    }
    let before = find_open_slices(&store, &killed_incarnations).await?;
    let calls_before = fleet.store_counters().await?;
    for index in group {
        fleet.routers[*index].process.signal(ProcessSignal::Kill);
    }
    let killed_at = Instant::now();
    let (mut open, mut last_closed) = (before, 0.0);
    while open.count > 0 && killed_at.elapsed() < CLOSE_TIMEOUT {
        compio::time::sleep(POLL_INTERVAL).await;
        let now = find_open_slices(&store, &killed_incarnations).await?;
        if now.count < open.count {
            last_closed = killed_at.elapsed().as_secs_f64();
        }
        open = now;
    }
    let calls = fleet.store_counters().await?;
    let difference = |kind: &str| {
        calls[kind].as_f64().unwrap_or(0.0) - calls_before[kind].as_f64().unwrap_or(0.0)
    };
    let mut add = |quantity, value| table.add(part, group.len(), quantity, value);
    add("slices_before", before.count as f64);
    add("slices_open_after_30_s", open.count as f64);
    add("tokens_before", before.granted as f64);
    add("tokens_stranded_after_30_s", open.granted as f64);
    add("last_closed_s", last_closed);
    add("store_writes", difference("writes"));
    add("seconds", killed_at.elapsed().as_secs_f64());
    Ok(())
}

/// Returns the open slices of the incarnations, from the budget pages in the store.
async fn find_open_slices(
    store: &HttpStore,
    incarnations: &BTreeSet<IncarnationId>,
) -> MeasureResult<OpenSlices> {
    let ListOutcome::Found(pages) = store.list(StoreKey::BUDGETS).await else {
        return Err("the budget pages could not be listed".into());
    };
    let mut open = OpenSlices { count: 0, granted: 0 };
    for page in pages {
        let page = BudgetPage::from_bytes(&page.entry.value)?;
        for (incarnation, slice) in page.budgets.values().flat_map(|record| &record.slices) {
            if incarnations.contains(incarnation) {
                open.count += 1;
                open.granted += slice.granted.0;
            }
        }
    }
    Ok(open)
}
