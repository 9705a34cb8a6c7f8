use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_harness::{LocalFleet, ProcessSignal};
use bramleywind_ledger::BudgetPage;
use bramleywind_store::{HttpStore, ListOutcome, Store as _, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::{BudgetId, IncarnationId};
use futures_util::future::try_join_all;
use serde_json::json;

use crate::{
    MeasureResult, TARGET_BUDGETS, fleet_shape, idle_slopes::wait_for_full_mesh,
    measurement_table::MeasurementTable, process_sample::ProcessSample,
    structure_costs::budget_record,
};

/// The numbers of budgets that the killed router has used.
pub const BUDGET_COUNTS: [usize; 4] = [64, 256, 768, 2_048];

/// The numbers of slices of each budget in the last measurements, which run with the pages of the target size.
pub const FULL_PAGE_SLICES: [usize; 2] = [0, 2];

/// The fewest routers of which each can have two witnesses. A router takes grants only on the pages of which it is the
/// home, so with fewer routers the killed one has slices on more pages.
const ROUTERS: usize = 3;

/// The delay of each store call after the death, in milliseconds.
const STORE_DELAY_MS: u64 = 5;

/// The number of requests in flight while the slices are granted.
const CONCURRENT_REQUESTS: usize = 16;

/// How long a call to the store may take. A listing of full pages is tens of megabytes.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the pages are listed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often full pages are listed, less often because each listing loads the store.
const FULL_PAGE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long the measurement waits for a reclaim. The target is 30 s.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(45);

/// Measures the time from the death of a router until no page has a slice of it. If `full_slices` is given, the store
/// holds the pages of all budgets of the target size, each budget with that many slices.
pub async fn measure(
    table: &mut MeasurementTable,
    budgets: usize,
    full_slices: Option<usize>,
) -> MeasureResult<()> {
    let part = match full_slices {
        None => "reclaim",
        Some(0) => "reclaim-full-0",
        Some(_) => "reclaim-full-2",
    };
    let mut fleet = LocalFleet::start(fleet_shape::fleet_plan(ROUTERS, 4, 0)?).await?;
    let store = HttpStore::new(fleet.store_address, CALL_TIMEOUT)?;
    if let Some(slices) = full_slices {
        fill_pages(&store, slices).await?;
    }
    fleet.apply(&fleet_shape::config_document(Some(&fleet), 1, budgets, 0)?).await?;
    wait_for_full_mesh(&fleet, ROUTERS).await?;
    compio::time::sleep(Duration::from_secs(4)).await;
    let incarnation: IncarnationId =
        fleet.status(0).await?["incarnation"].as_str().unwrap_or_default().parse()?;
    let started_at = Instant::now();
    let workers = (0..CONCURRENT_REQUESTS).map(|worker| use_every_budget(&fleet, worker, budgets));
    try_join_all(workers).await?;
    let grant_seconds = started_at.elapsed().as_secs_f64();
    let pages = count_pages_with_slice(&store, incarnation).await?;
    let before = fleet.store_counters().await?;
    fleet.set_faults(fleet.store_address, &json!({ "delay_ms": STORE_DELAY_MS })).await?;
    fleet.routers[0].process.signal(ProcessSignal::Kill);
    let killed_at = Instant::now();
    let mut open_pages = pages;
    while open_pages > 0 && killed_at.elapsed() < RECLAIM_TIMEOUT {
        compio::time::sleep(if full_slices.is_some() {
            FULL_PAGE_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        })
        .await;
        open_pages = count_pages_with_slice(&store, incarnation).await?;
    }
    let seconds = killed_at.elapsed().as_secs_f64();
    let after = fleet.store_counters().await?;
    let peaks: Vec<f64> = fleet.routers[1..]
        .iter()
        .map(|router| ProcessSample::read(router.process.id()).map(|sample| sample.peak_bytes))
        .collect::<Result<_, _>>()?;
    let writes = |counters: &serde_json::Value| counters["writes"].as_f64().unwrap_or(0.0);
    let mut add = |quantity, value| table.add(part, pages, quantity, value);
    add("grant_s_of_all_budgets", grant_seconds);
    add("reclaim_s", seconds);
    add("pages_left_open", open_pages as f64);
    add("store_writes", writes(&after) - writes(&before));
    add("peak_mb_of_largest_router", peaks.into_iter().fold(0.0, f64::max) / 1e6);
    Ok(())
}

/// Sends one request for each budget of a worker to the first router, so that it takes slices.
async fn use_every_budget(fleet: &LocalFleet, worker: usize, budgets: usize) -> MeasureResult<()> {
    let url = format!("http://{}/v1/chat/completions", fleet.routers[0].caller_address);
    for budget in (worker..budgets).step_by(CONCURRENT_REQUESTS) {
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
    Ok(())
}

/// Returns the number of pages in the store that have a slice of the incarnation.
async fn count_pages_with_slice(
    store: &HttpStore,
    incarnation: IncarnationId,
) -> MeasureResult<usize> {
    let ListOutcome::Found(pages) = store.list(StoreKey::BUDGETS).await else {
        return Err("the budget pages could not be listed".into());
    };
    let mut count = 0;
    for page in pages {
        count += usize::from(BudgetPage::from_bytes(&page.entry.value)?.has_slice(incarnation));
    }
    Ok(count)
}

/// Writes the pages of all budgets of the target size to the store, each budget with the given number of slices.
async fn fill_pages(store: &HttpStore, slices: usize) -> MeasureResult<()> {
    let mut pages: BTreeMap<StoreKey, BudgetPage> = BTreeMap::new();
    for index in 0..TARGET_BUDGETS {
        let budget: BudgetId = fleet_shape::budget_name(index).parse()?;
        let page = pages.entry(StoreKey::budget_page(&budget)).or_default();
        page.budgets.insert(budget, budget_record(slices)?);
    }
    for (key, page) in pages {
        let outcome = store.write(&key, page.to_bytes(), StoreVersion::MISSING).await;
        if !matches!(outcome, WriteOutcome::Applied(_)) {
            return Err(format!("page `{}` was not written: {outcome:?}", key.as_str()).into());
        }
    }
    Ok(())
}
