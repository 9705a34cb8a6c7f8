//! The request list of an experiment: six routers with different shares of the load, and ten workspaces, three of
//! which send most of the requests.

use std::time::Duration;

use bramleywind_types::BudgetId;
use rand::{Rng, SeedableRng, distr::weighted::WeightedIndex, prelude::Distribution};
use rand_chacha::ChaCha8Rng;

pub const ROUTERS: usize = 6;
pub const BUDGETS: usize = 10;
/// The largest reservation, in tokens. A budget with less than this left may not be able to pay for the next request.
pub const LARGEST_REQUEST: u64 = 1_200;
/// The load of the current users, over all routers.
const REQUESTS_PER_SECOND: f64 = 20.0;
const ROUTER_WEIGHTS: [u32; ROUTERS] = [8, 5, 4, 2, 2, 1];
const BUDGET_WEIGHTS: [u32; BUDGETS] = [30, 25, 20, 5, 4, 4, 4, 3, 3, 2];
/// The share of the demand that the credit of each budget covers, so that some budgets run out early and some never.
const COVERED_DEMAND: [f64; BUDGETS] = [0.8, 0.6, 0.9, 0.5, 1.2, 0.8, 0.7, 0.9, 0.6, 1.2];

/// A request of the list.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// The time from the start of the run.
    pub arrival: Duration,
    /// The router that the caller tries first.
    pub router: usize,
    pub budget: usize,
    /// The tokens to reserve.
    pub tokens: u64,
    /// The tokens that are billed at the end; the others are refunded.
    pub billed: u64,
    /// The time from the reservation to the settlement.
    pub service_time: Duration,
}

/// A request list and the credits of the budgets that it draws on.
#[derive(Debug, Clone)]
pub struct Workload {
    pub requests: Vec<PlannedRequest>,
    pub credits: [u64; BUDGETS],
}

/// Returns the id of a budget.
pub fn budget_id(index: usize) -> BudgetId {
    format!("workspace-{index}").parse().expect("the name is a valid identifier")
}

impl Workload {
    /// Generates the workload of a seed. The same seed gives the same workload.
    pub fn generate(seed: u64, length: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let routers = WeightedIndex::new(ROUTER_WEIGHTS).expect("the weights are positive");
        let budgets = WeightedIndex::new(BUDGET_WEIGHTS).expect("the weights are positive");
        let mut requests = Vec::new();
        let mut arrival = 0.0;
        let mut demand = [0_u64; BUDGETS];
        loop {
            arrival -= (1.0 - random.random::<f64>()).ln() / REQUESTS_PER_SECOND;
            if arrival >= length.as_secs_f64() {
                break;
            }
            let tokens = random.random_range(200..=LARGEST_REQUEST);
            let budget = budgets.sample(&mut random);
            let billed = tokens * random.random_range(30..=100) / 100;
            demand[budget] += billed;
            requests.push(PlannedRequest {
                arrival: Duration::from_secs_f64(arrival),
                router: routers.sample(&mut random),
                budget,
                tokens,
                billed,
                service_time: Duration::from_millis(random.random_range(500..4_000)),
            });
        }
        let mut credits = [0; BUDGETS];
        for (index, credit) in credits.iter_mut().enumerate() {
            *credit = (demand[index] as f64 * COVERED_DEMAND[index]) as u64;
        }
        Self { requests, credits }
    }
}
