//! A single ledger without faults or delays, as the reference for the compared ways of sharing. It gets the same
//! request list and follows the same rule: it reserves when a request arrives and settles when it ends.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use crate::workload::{BUDGETS, LARGEST_REQUEST, PlannedRequest, Workload};

/// The decision of the exact ledger on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExactDecision {
    Accepted,
    /// Accepted, but less than the largest request remained in the budget afterwards.
    NearEnd,
    Refused,
}

/// Replays all requests on the exact ledger and returns its decision on each.
///
/// `billed` returns the tokens that a request is billed for. `top_up` is the time of a top-up and the tokens that it
/// adds to each budget.
pub fn replay_requests(
    workload: &Workload,
    billed: impl Fn(&PlannedRequest) -> u64,
    top_up: Option<(Duration, [u64; BUDGETS])>,
) -> Vec<ExactDecision> {
    let mut remaining = workload.credits;
    let mut pending_top_up = top_up;
    let mut settlements: BinaryHeap<Reverse<(Duration, usize, u64)>> = BinaryHeap::new();
    let mut decisions = Vec::with_capacity(workload.requests.len());
    for request in &workload.requests {
        while let Some(Reverse((time, budget, refund))) = settlements.peek().copied()
            && time <= request.arrival
        {
            settlements.pop();
            remaining[budget] += refund;
        }
        if let Some((time, amounts)) = pending_top_up
            && time <= request.arrival
        {
            amounts.iter().zip(&mut remaining).for_each(|(amount, remaining)| *remaining += amount);
            pending_top_up = None;
        }
        let budget = request.budget;
        if remaining[budget] < request.tokens {
            decisions.push(ExactDecision::Refused);
            continue;
        }
        let is_near_end = remaining[budget] < request.tokens + LARGEST_REQUEST;
        decisions.push(if is_near_end { ExactDecision::NearEnd } else { ExactDecision::Accepted });
        remaining[budget] -= request.tokens;
        let refund = request.tokens - billed(request);
        settlements.push(Reverse((request.arrival + request.service_time, budget, refund)));
    }
    decisions
}
