use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_orders::{
    DispatchSettings, LeaseChange, OrderAction, OrderDispatcher, OrderResult, ReconcileReport,
    WantedEngine,
};
use bramleywind_types::EndpointId;
use rand::Rng;
use slog::{info, warn};

use crate::{EngineOrderClient, OrderLabel, RouterState, RouterStore};

/// How often the task checks for due work. A drain releases the order lease within this interval plus the time
/// of one order.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// How often some of the engines whose orders wait for a permit are checked again. A round over 810 engines takes
/// 32 s, during which several permits become available.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How many of these engines are checked at a time: 8 reads per second of about 600 bytes are 5 KB/s.
const MAX_RECHECKED_ENGINES: usize = 8;

/// Sends orders to engines while this router holds the order lease, and contends for the lease otherwise.
/// Releases the lease and returns when the router drains.
pub async fn send_orders(state: Rc<RouterState>, store: RouterStore, settings: DispatchSettings) {
    let mut dispatcher = OrderDispatcher::new(settings, store, EngineOrderClient);
    let mut reporter = OrderReporter::default();
    let mut next_round = Instant::now();
    let mut next_recheck = Instant::now();
    let mut waiting: VecDeque<EndpointId> = VecDeque::new();
    let is_stopping = || state.drain.borrow().is_leaving();
    // Spreads the first attempts of routers that start at the same time, so that they do not call the store at once.
    let first_interval = dispatcher.contention_interval(fleet_size(&state));
    let mut next_contention =
        Instant::now() + first_interval.mul_f64(rand::rng().random_range(0.0..1.0));
    loop {
        if is_stopping() {
            dispatcher.release().await;
            set_holder(&state, false);
            state.orders.is_released.set(true);
            return;
        }
        if state.orders.is_holder.get() {
            let change = dispatcher.renew().await;
            if change == LeaseChange::Lost || !dispatcher.is_holder() {
                warn!(state.log, "the order lease was lost");
                set_holder(&state, false);
            } else if Instant::now() >= next_round {
                let engines = wanted_engines(&state);
                let report = dispatcher.reconcile_engines(&engines, is_stopping).await;
                reporter.record_round(&state, &report);
                waiting = report.waiting.into_iter().collect();
                next_round = Instant::now() + dispatcher.reconcile_interval(engines.len());
                next_recheck = Instant::now() + RECHECK_INTERVAL;
            } else if Instant::now() >= next_recheck && !waiting.is_empty() {
                let rechecked: Vec<_> =
                    waiting.drain(..MAX_RECHECKED_ENGINES.min(waiting.len())).collect();
                let mut engines = wanted_engines(&state);
                engines.retain(|engine| rechecked.contains(&engine.endpoint));
                let report = dispatcher.reconcile_engines(&engines, is_stopping).await;
                reporter.record_steps(&state, &report);
                waiting.extend(report.waiting);
                next_recheck = Instant::now() + RECHECK_INTERVAL;
            }
        } else if Instant::now() >= next_contention && state.current_routes().is_ok() {
            if dispatcher.try_acquire_lease().await == LeaseChange::Acquired {
                info!(state.log, "the order lease was acquired");
                set_holder(&state, true);
                next_round = Instant::now();
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            next_contention =
                Instant::now() + dispatcher.contention_interval(fleet_size(&state)).mul_f64(jitter);
        }
        compio::time::sleep(TICK_INTERVAL).await;
    }
}

fn fleet_size(state: &RouterState) -> usize {
    state.orders.entries.get().max(state.live_peers().len() + 1)
}

fn set_holder(state: &RouterState, is_holder: bool) {
    state.orders.is_holder.set(is_holder);
    state.metrics.orders_holder.set(i64::from(is_holder));
    if !is_holder {
        state.orders.missing.set(0);
        state.metrics.orders_missing.set(0);
        state.metrics.orders_unexpected.set(0);
        state.metrics.orders_unreadable.set(0);
    }
}

/// Returns the engines that may get orders. Leaving engines get no work, and orders to engines that are down
/// would only cost time.
fn wanted_engines(state: &RouterState) -> Vec<WantedEngine> {
    let Ok(routes) = state.current_routes() else { return Vec::new() };
    let endpoints = routes.endpoints.values();
    endpoints
        .filter(|endpoint| state.admission.is_available(&endpoint.id))
        .filter_map(WantedEngine::from_config)
        .collect()
}

/// Updates the order metrics, and logs the result of an order only when it differs from that of the last round.
#[derive(Default)]
struct OrderReporter {
    last_results: BTreeMap<(EndpointId, OrderAction), OrderResult>,
}

impl OrderReporter {
    fn record_round(&mut self, state: &RouterState, report: &ReconcileReport) {
        let count = |number| i64::try_from(number).unwrap_or(i64::MAX);
        state.orders.missing.set(report.missing);
        state.metrics.orders_missing.set(count(report.missing));
        state.metrics.orders_unexpected.set(count(report.unexpected));
        state.metrics.orders_unreadable.set(count(report.unreadable));
        if report.missing == 0 {
            self.last_results.clear();
        }
        self.record_steps(state, report);
    }

    fn record_steps(&mut self, state: &RouterState, report: &ReconcileReport) {
        for step in &report.steps {
            let (order, outcome) = (step.action.kind(), step.result.name());
            state.metrics.orders.get_or_create(&OrderLabel { order, outcome }).inc();
            let key = (step.endpoint.clone(), step.action.clone());
            if self.last_results.insert(key, step.result) == Some(step.result) {
                continue;
            }
            if step.result == OrderResult::NoWeightStore {
                warn!(state.log, "order not sent, because `weight_store_address` is missing in the settings";
                    "endpoint" => %step.endpoint, "order" => ?step.action);
            } else {
                info!(state.log, "order to an engine"; "endpoint" => %step.endpoint,
                    "order" => ?step.action, "outcome" => outcome);
            }
        }
    }
}
