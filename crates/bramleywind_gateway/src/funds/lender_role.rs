use std::time::{Duration, Instant};

/// How long a process must have been the primary of a budget before it draws grants ahead of use. While gateways start
/// together, each of them is the primary for a moment.
const PRIMARY_DELAY: Duration = Duration::from_millis(1_500);

/// How long a process that was asked for a loan goes on to draw grants. Processes that disagree on the primary, or do not
/// reach it, ask another one again within this time.
const LENDING_TIME: Duration = Duration::from_secs(2);

/// How long a process draws grants for its own waiting requests after no lender has answered.
const OWN_DRAW_TIME: Duration = Duration::from_secs(1);

/// Whether a process draws grants of a budget from the store, for itself and for others, or borrows from another process.
#[derive(Debug, Default)]
pub(super) struct LenderRole {
    /// Since when this process has been the primary of the budget.
    primary_since: Option<Instant>,
    /// Until when this process draws grants because other processes have asked it for loans.
    lends_until: Option<Instant>,
    /// Until when this process draws grants for its own waiting requests, since no lender answers.
    draws_own_until: Option<Instant>,
}

impl LenderRole {
    /// Sets whether this process is the primary of the budget.
    pub(super) fn set_primary(&mut self, is_primary: bool, now: Instant) {
        self.primary_since = is_primary.then(|| self.primary_since.unwrap_or(now));
    }

    /// Records that another process asks this one for a loan.
    pub(super) fn begin_lending(&mut self, now: Instant) {
        self.lends_until = Some(now + LENDING_TIME);
    }

    /// Records that no other process answers a request for a loan.
    pub(super) fn begin_own_draws(&mut self, now: Instant) {
        self.draws_own_until = Some(now + OWN_DRAW_TIME);
    }

    /// Reports whether the process draws grants ahead of use, rather than borrow.
    pub(super) fn is_drawing(&self, now: Instant) -> bool {
        self.primary_since.is_some_and(|since| now >= since + PRIMARY_DELAY)
            || self.lends_until.is_some_and(|until| now < until)
    }

    /// Reports whether the process draws grants at least for requests that wait.
    pub(super) fn is_lender(&self, now: Instant) -> bool {
        self.primary_since.is_some() || self.is_drawing(now)
    }

    /// Reports whether waiting requests of this process are served from its own grant.
    pub(super) fn draws_for_waiting(&self, now: Instant) -> bool {
        self.is_lender(now) || self.draws_own_until.is_some_and(|until| now < until)
    }
}
