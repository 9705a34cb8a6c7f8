//! Runs one way of sharing under one condition and measures it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bramleywind_ledger::BudgetPage;
use bramleywind_store::StoreKey;
use hdrhistogram::Histogram;

use crate::{
    exact_ledger::{ExactDecision, replay_requests},
    network::{Network, SimLedger, instance_id},
    sharing::{Sharing, SharingKind, peer_records},
    workload::{BUDGETS, PlannedRequest, ROUTERS, Workload, budget_id},
};

/// The time for the routers to register before the first request.
const WARM_UP: Duration = Duration::from_secs(2);
/// The time for the last requests to end and for the tokens that routers hold to be returned or reclaimed.
const COOL_DOWN: Duration = Duration::from_secs(60);
/// How often the routers check which peers are live.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a peer must have been silent to count as dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// How long the router is stopped under [`Condition::Paused`].
const PAUSE_DURATION: Duration = Duration::from_secs(20);
/// The router that is killed or paused. It serves the second most requests.
const FAULTY_ROUTER: usize = 1;
/// The routers of the data centre that is cut off in a partition.
const CUT_OFF_ROUTERS: std::ops::Range<usize> = 2..4;
/// The owner of the tasks that drive the experiment. No router owns them, so no fault stops them.
const EXPERIMENT_OWNER: usize = ROUTERS;

/// The fault that a run is exposed to. The variants are printed by name in the results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// No fault.
    Calm,
    /// A router is killed.
    Killed,
    /// A router is stopped for a while and then continues.
    Paused,
    /// A data centre is cut off from the store and the other data centres, and the budgets are topped up meanwhile.
    Partition,
    /// The store does not answer.
    StoreDown,
}

/// The results of one run.
#[derive(Debug, Clone)]
pub struct TrialReport {
    pub requests: usize,
    /// The most tokens by which bills and open reservations exceeded the credit of a budget.
    pub overspend: u64,
    pub refused: usize,
    /// Refused requests that the exact ledger accepted with enough left for a largest request.
    pub false_refusals: usize,
    /// Refused requests that the exact ledger accepted near the end of the budget.
    pub near_end_refusals: usize,
    pub store_writes: u64,
    /// Tokens that the killed or paused router held unused when the fault began.
    pub stranded_tokens: u64,
    /// The time from the fault until the last slice of that router was closed. `None` if that did not happen.
    pub stranded_time: Option<Duration>,
    /// The mean time that an accepted request waited for its reservation.
    pub mean_delay: Duration,
    /// The 99th percentile of that time.
    pub p99_delay: Duration,
}

/// The state of a simulated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// Not sent yet, or waiting for tokens. It stays so if its router is killed meanwhile.
    Waiting,
    Refused,
    /// Reserved at this router, and not settled yet.
    Open(usize),
    Billed,
}

struct Trial {
    network: Rc<Network>,
    sharing: Sharing,
    workload: Workload,
    states: RefCell<Vec<RequestState>>,
    /// The tokens of bills and of open reservations, by budget.
    spent: RefCell<[u64; BUDGETS]>,
    credits: RefCell<[u64; BUDGETS]>,
    /// The most tokens by which `spent` exceeded the credit of a budget.
    overspend: Cell<u64>,
    /// The delays of reservations, in microseconds.
    delays: RefCell<Histogram<u64>>,
    /// See [`TrialReport::stranded_tokens`] and [`TrialReport::stranded_time`].
    stranded: Cell<(u64, Option<Duration>)>,
}

/// Runs the workload with one way of sharing under one condition.
pub fn run(
    condition: Condition,
    kind: SharingKind,
    workload: &Workload,
    length: Duration,
    seed: u64,
) -> TrialReport {
    let network = Network::new();
    let sharing = Sharing::start(kind, &network, workload.credits, seed);
    let trial = Rc::new(Trial {
        network: Rc::clone(&network),
        sharing,
        workload: workload.clone(),
        states: RefCell::new(vec![RequestState::Waiting; workload.requests.len()]),
        spent: RefCell::default(),
        credits: RefCell::new(workload.credits),
        overspend: Cell::new(0),
        delays: RefCell::new(Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid")),
        stranded: Cell::new((0, None)),
    });
    let runtime = network.runtime.clone();
    let end = runtime.now() + WARM_UP + length + COOL_DOWN;
    if let Sharing::TokenLedgers(ledgers) = &trial.sharing {
        for router in 0..ROUTERS {
            runtime
                .spawn(router, simulate_heartbeats(Rc::clone(&network), ledgers.clone(), router));
        }
    }
    runtime.spawn(EXPERIMENT_OWNER, inject_faults(Rc::clone(&trial), condition, length));
    runtime.spawn(EXPERIMENT_OWNER, send_requests(Rc::clone(&trial)));
    runtime.run_until(end);
    trial.report(condition, length)
}

fn top_up_amounts(workload: &Workload) -> [u64; BUDGETS] {
    workload.credits.map(|credit| credit / 10)
}

async fn send_requests(trial: Rc<Trial>) {
    let runtime = trial.network.runtime.clone();
    let start = runtime.now() + WARM_UP;
    for (index, request) in trial.workload.requests.clone().into_iter().enumerate() {
        let arrival = start + request.arrival;
        runtime.sleep(arrival.saturating_duration_since(runtime.now())).await;
        // Callers of a router that does not answer try the next one.
        let router = (0..ROUTERS).map(|step| (request.router + step) % ROUTERS);
        let Some(router) = router.into_iter().find(|router| trial.network.is_running(*router))
        else {
            continue;
        };
        runtime.spawn(router, serve_request(Rc::clone(&trial), index, router, request));
    }
}

async fn serve_request(trial: Rc<Trial>, index: usize, router: usize, request: PlannedRequest) {
    let (network, budget) = (&trial.network, request.budget);
    let runtime = &network.runtime;
    let arrival = runtime.now();
    let handle = trial.sharing.reserve(router, budget, request.tokens, network).await;
    let delay = runtime.now().duration_since(arrival);
    let Some(handle) = handle else {
        trial.states.borrow_mut()[index] = RequestState::Refused;
        return;
    };
    trial.delays.borrow_mut().saturating_record(delay.as_micros() as u64);
    trial.states.borrow_mut()[index] = RequestState::Open(router);
    trial.add_spent(budget, request.tokens);
    runtime.sleep(request.service_time).await;
    trial.states.borrow_mut()[index] = RequestState::Billed;
    trial.spent.borrow_mut()[budget] -= request.tokens - request.billed;
    trial.sharing.settle(router, budget, handle, request.billed, network).await;
}

async fn inject_faults(trial: Rc<Trial>, condition: Condition, length: Duration) {
    let network = &trial.network;
    let runtime = &network.runtime;
    runtime.sleep(WARM_UP + length / 4).await;
    match condition {
        Condition::Calm => {}
        Condition::Killed => {
            runtime.sleep(length / 12).await;
            network.killed[FAULTY_ROUTER].set(true);
            runtime.kill(FAULTY_ROUTER);
            runtime.spawn(EXPERIMENT_OWNER, measure_stranded_tokens(Rc::clone(&trial)));
        }
        Condition::Paused => {
            runtime.sleep(length / 12).await;
            network.paused[FAULTY_ROUTER].set(true);
            runtime.pause(FAULTY_ROUTER);
            runtime.spawn(EXPERIMENT_OWNER, measure_stranded_tokens(Rc::clone(&trial)));
            runtime.sleep(PAUSE_DURATION).await;
            network.paused[FAULTY_ROUTER].set(false);
            runtime.resume(FAULTY_ROUTER);
        }
        Condition::Partition => {
            CUT_OFF_ROUTERS.for_each(|router| network.partitioned[router].set(true));
            runtime.sleep(length / 4).await;
            let amounts = top_up_amounts(&trial.workload);
            trial.sharing.top_up(network, amounts);
            trial.raise_credits(amounts);
            runtime.sleep(length / 4).await;
            CUT_OFF_ROUTERS.for_each(|router| network.partitioned[router].set(false));
        }
        Condition::StoreDown => {
            network.store_down.set(true);
            runtime.sleep(length / 2).await;
            network.store_down.set(false);
        }
    }
}

/// Records the unused tokens of the faulty router, and the time until no budget page has a slice of its incarnation.
async fn measure_stranded_tokens(trial: Rc<Trial>) {
    let tokens = trial.sharing.unused_tokens(FAULTY_ROUTER);
    trial.stranded.set((tokens, None));
    let Sharing::TokenLedgers(ledgers) = &trial.sharing else { return };
    let incarnation = ledgers[FAULTY_ROUTER].incarnation();
    let runtime = &trial.network.runtime;
    let start = runtime.now();
    loop {
        let has_slice = |budget| {
            let found = trial.network.memory.peek(&StoreKey::budget_page(&budget_id(budget)));
            found.is_some_and(|found| {
                BudgetPage::from_bytes(&found.value).is_ok_and(|page| page.has_slice(incarnation))
            })
        };
        if !(0..BUDGETS).any(has_slice) {
            trial.stranded.set((tokens, Some(runtime.now().duration_since(start))));
            return;
        }
        runtime.sleep(Duration::from_millis(100)).await;
    }
}

/// Simulates the heartbeats of a router: tells its ledger which peers are live, and reclaims the slices of dead
/// peers.
async fn simulate_heartbeats(network: Rc<Network>, ledgers: Vec<SimLedger>, router: usize) {
    let runtime = network.runtime.clone();
    let mut last_seen = [runtime.now(); ROUTERS];
    let mut incarnations: Vec<_> = ledgers.iter().map(SimLedger::incarnation).collect();
    let mut was_alive = [true; ROUTERS];
    loop {
        let now = runtime.now();
        for other in (0..ROUTERS).filter(|other| *other != router) {
            if network.is_running(other) && network.is_connected(router, other) {
                last_seen[other] = now;
                incarnations[other] = ledgers[other].incarnation();
            }
        }
        let is_alive = |other: usize| now.duration_since(last_seen[other]) < DEAD_AFTER;
        ledgers[router]
            .set_peers(peer_records(&ledgers, |other| other != router && is_alive(other)));
        for other in (0..ROUTERS).filter(|other| *other != router) {
            if was_alive[other] && !is_alive(other) {
                let (ledger, incarnation) = (ledgers[router].clone(), incarnations[other]);
                runtime.spawn(router, async move {
                    let _outcome = ledger.reclaim(&instance_id(other), incarnation).await;
                });
            }
            was_alive[other] = is_alive(other);
        }
        runtime.sleep(HEARTBEAT_INTERVAL).await;
    }
}

impl Trial {
    fn raise_credits(&self, amounts: [u64; BUDGETS]) {
        let mut credits = self.credits.borrow_mut();
        credits.iter_mut().zip(amounts).for_each(|(credit, amount)| *credit += amount);
    }

    /// Counts tokens as spent and updates the largest overspend.
    fn add_spent(&self, budget: usize, tokens: u64) {
        let mut spent = self.spent.borrow_mut();
        spent[budget] += tokens;
        let excess = spent[budget].saturating_sub(self.credits.borrow()[budget]);
        self.overspend.set(self.overspend.get().max(excess));
    }

    fn report(&self, condition: Condition, length: Duration) -> TrialReport {
        let states = self.states.borrow();
        let killed_at = length / 3;
        let billed = |request: &PlannedRequest| {
            let is_running_at_kill =
                request.arrival < killed_at && request.arrival + request.service_time > killed_at;
            let is_killed = condition == Condition::Killed && request.router == FAULTY_ROUTER;
            if is_killed && is_running_at_kill { request.tokens } else { request.billed }
        };
        let top_up = (condition == Condition::Partition)
            .then(|| (length / 2, top_up_amounts(&self.workload)));
        let decisions = replay_requests(&self.workload, billed, top_up);
        let count_refusals = |decision| {
            let pairs = states.iter().zip(&decisions);
            pairs
                .filter(|(state, exact)| **state == RequestState::Refused && **exact == decision)
                .count()
        };
        let delays = self.delays.borrow();
        let (stranded_tokens, stranded_time) = self.stranded.get();
        TrialReport {
            requests: states.len(),
            overspend: self.overspend.get(),
            refused: states.iter().filter(|state| **state == RequestState::Refused).count(),
            false_refusals: count_refusals(ExactDecision::Accepted),
            near_end_refusals: count_refusals(ExactDecision::NearEnd),
            store_writes: self.network.memory.counters().writes,
            stranded_tokens,
            stranded_time,
            mean_delay: Duration::from_micros(delays.mean() as u64),
            p99_delay: Duration::from_micros(delays.value_at_quantile(0.99)),
        }
    }
}
