//! Tracks the bills that replace what a reclaim counts for a dead router (billing rule B6). The code does no
//! I/O, and the current time is an argument.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bramleywind_types::{BudgetId, RequestKey};

/// The delays after the bill at which to look for what a reclaim counted. A reclaim takes up to 30 s once the
/// store and the witnesses are reachable; the later lookups cover those that were unreachable.
const LOOKUP_DELAYS: [Duration; 7] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(14),
    Duration::from_secs(30),
    Duration::from_secs(60),
    Duration::from_secs(180),
    Duration::from_secs(600),
];

/// Maximum number of tracked bills, which take 2 MB. A request whose bill is evicted stays counted twice,
/// which never lets a workspace overspend.
const MAX_BILLS: usize = 10_000;

/// A request that was billed here after an earlier attempt whose router is dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BilledRepeat {
    /// The budget that paid for the request.
    pub budget: BudgetId,
    /// The idempotency key of the request.
    pub key: RequestKey,
}

/// Tracks the bills that replace earlier attempts until the last lookup for what a reclaim counted for these.
///
/// Taking a counted reservation back is safe at any time: it is counted only once the earlier router is
/// sealed, and a late bill of a sealed router changes nothing once the entry is gone. So exactly one of the
/// attempts is billed, whichever of them ended last.
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
    /// Tracks a bill. The oldest one is evicted if the tracker is full.
    pub fn record(&mut self, repeat: BilledRepeat, now: Instant) {
        if self.bills.len() >= MAX_BILLS {
            self.bills.pop_front();
        }
        self.bills.push_back(PendingRepeat { repeat, billed_at: now, lookups: 0 });
    }

    /// Returns the bills whose next lookup is due. Each bill is returned several times.
    pub fn take_due(&mut self, now: Instant) -> Vec<BilledRepeat> {
        let mut due = Vec::new();
        for tracked in &mut self.bills {
            if LOOKUP_DELAYS
                .get(tracked.lookups)
                .is_some_and(|delay| tracked.billed_at + *delay <= now)
            {
                tracked.lookups += 1;
                due.push(tracked.repeat.clone());
            }
        }
        self.bills.retain(|tracked| tracked.lookups < LOOKUP_DELAYS.len());
        due
    }
}
