//! Which bills replace what a reclaim counts for a dead router (rule B6). Pure: the present is an argument.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bramleywind_types::{BudgetId, RequestKey};

/// When to look for what was counted, after the bill. A reclaim takes up to 30 s once the store and the
/// witnesses are reachable; the later lookups are for those that were not.
const LOOKUP_DELAYS: [Duration; 7] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(14),
    Duration::from_secs(30),
    Duration::from_secs(60),
    Duration::from_secs(180),
    Duration::from_secs(600),
];

/// The most bills that are remembered, 2 MB. Those that are forgotten stay counted twice, which is safe.
const MAX_BILLS: usize = 10_000;

/// A request that was billed here after an attempt whose router is dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BilledRepeat {
    /// The budget that paid.
    pub budget: BudgetId,
    /// The key.
    pub key: RequestKey,
}

/// Remembers bills that replace earlier attempts, until what was counted for these has surely been found.
///
/// Taking it back is safe at any time: it is counted only once the earlier router is sealed, and a sealed router's
/// late bill changes nothing when the entry is gone. So one of the attempts is billed, whichever of them
/// ended last.
#[derive(Debug, Default)]
pub struct RepeatTracker {
    bills: VecDeque<PendingRepeat>,
}

#[derive(Debug)]
struct PendingRepeat {
    repeat: BilledRepeat,
    billed_at: Instant,
    lookups: usize,
}

impl RepeatTracker {
    /// Notes a bill.
    pub fn record(&mut self, repeat: BilledRepeat, now: Instant) {
        if self.bills.len() >= MAX_BILLS {
            self.bills.pop_front();
        }
        self.bills.push_back(PendingRepeat { repeat, billed_at: now, lookups: 0 });
    }

    /// The bills for which it is time to look for what was counted. Each comes up several times.
    pub fn take_due(&mut self, now: Instant) -> Vec<BilledRepeat> {
        let mut due = Vec::new();
        for pending in &mut self.bills {
            if LOOKUP_DELAYS.get(pending.lookups).is_some_and(|delay| pending.billed_at + *delay <= now) {
                pending.lookups += 1;
                due.push(pending.repeat.clone());
            }
        }
        self.bills.retain(|pending| pending.lookups < LOOKUP_DELAYS.len());
        due
    }
}
