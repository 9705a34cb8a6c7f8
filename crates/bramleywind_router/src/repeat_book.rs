//! Which bills replace what a reclaim counted for a dead router (rule B6). Pure: the present is an argument.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bramleywind_types::{BudgetId, RequestKey};

/// How long bills are remembered: callers repeat a request within the 10 min for which its key is kept.
const KEEP_TIME: Duration = Duration::from_secs(15 * 60);

/// How long before its detection a router may have died.
const DETECTION_TIME: Duration = Duration::from_secs(10);

/// How long the fleet must have been without a silent router, so that one that woke up has ended its requests.
const QUIET_TIME: Duration = Duration::from_secs(10);

/// The most bills that are remembered, 2 MB. Those that are forgotten stay counted twice, which is safe.
const MAX_BILLS: usize = 10_000;

/// A request with a key that was billed here, and may have been a repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BilledRequest {
    /// The budget that paid.
    pub budget: BudgetId,
    /// The key.
    pub key: RequestKey,
    /// When it was billed.
    pub at: Instant,
}

/// Remembers bills under a key until the earlier attempts of their requests have certainly ended.
///
/// A router that is silent may be paused or cut off, and still bill its attempt. What was counted for it is
/// taken back only when all silent routers are known to have ended, and no attempt can be running any more.
#[derive(Debug, Default)]
pub struct RepeatBook {
    bills: VecDeque<BilledRequest>,
    death: Option<Instant>,
    quiet_since: Option<Instant>,
}

impl RepeatBook {
    /// Notes a bill.
    pub fn record_bill(&mut self, bill: BilledRequest) {
        if self.bills.len() >= MAX_BILLS {
            self.bills.pop_front();
        }
        self.bills.push_back(bill);
    }

    /// Notes that a router has died, or was replaced.
    pub fn record_death(&mut self, now: Instant) {
        self.death = Some(now);
    }

    /// Notes whether all routers that are not heard from are known to have ended.
    pub fn record_view(&mut self, all_ended: bool, now: Instant) {
        match all_ended {
            true => drop(self.quiet_since.get_or_insert(now)),
            false => self.quiet_since = None,
        }
    }

    /// Takes the bills whose earlier attempts, if there were any, have ended. No attempt runs longer than
    /// `request_time`.
    pub fn take_due(&mut self, request_time: Duration, now: Instant) -> Vec<BilledRequest> {
        while self.bills.front().is_some_and(|bill| bill.at + KEEP_TIME <= now) {
            self.bills.pop_front();
        }
        self.death = self.death.filter(|death| now < *death + KEEP_TIME);
        let is_quiet = self.quiet_since.is_some_and(|since| since + QUIET_TIME <= now);
        let Some(death) = self.death.filter(|_| is_quiet) else { return Vec::new() };
        let is_due = |bill: &BilledRequest| {
            bill.at + DETECTION_TIME >= death && bill.at + request_time <= now
        };
        let (due, kept) = self.bills.drain(..).partition(is_due);
        self.bills = kept;
        Vec::from_iter::<VecDeque<_>>(due)
    }
}
