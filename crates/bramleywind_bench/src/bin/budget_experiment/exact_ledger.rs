//! One ledger without faults or delays, on the same request list and with the same rule: reserve at the
//! arrival, settle at the end.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use crate::workload::{BUDGETS, LARGEST_REQUEST, ListedRequest, Workload};

/// What the exact ledger did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExactVerdict {
    Accepted,
    /// Accepted, or refused, with less than one largest request left beyond it.
    NearEnd,
    Refused,
}

/// Judges all requests. `billed` gives the bill of each, and `top_up` a time and what each credit grows by.
pub fn judge(
    workload: &Workload,
    billed: impl Fn(&ListedRequest) -> u64,
    top_up: Option<(Duration, [u64; BUDGETS])>,
) -> Vec<ExactVerdict> {
    let mut left = workload.credits;
    let mut pending_top_up = top_up;
    let mut settlements: BinaryHeap<Reverse<(Duration, usize, u64)>> = BinaryHeap::new();
    let mut verdicts = Vec::with_capacity(workload.requests.len());
    for request in &workload.requests {
        while let Some(Reverse((time, budget, refund))) = settlements.peek().copied()
            && time <= request.arrival
        {
            settlements.pop();
            left[budget] += refund;
        }
        if let Some((time, amounts)) = pending_top_up
            && time <= request.arrival
        {
            amounts.iter().zip(&mut left).for_each(|(amount, left)| *left += amount);
            pending_top_up = None;
        }
        let budget = request.budget;
        if left[budget] < request.tokens {
            verdicts.push(ExactVerdict::Refused);
            continue;
        }
        let is_near_end = left[budget] < request.tokens + LARGEST_REQUEST;
        verdicts.push(if is_near_end { ExactVerdict::NearEnd } else { ExactVerdict::Accepted });
        left[budget] -= request.tokens;
        let refund = request.tokens - billed(request);
        settlements.push(Reverse((request.arrival + request.service, budget, refund)));
    }
    verdicts
}
