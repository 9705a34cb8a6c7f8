use std::time::Instant;

use super::{RateStatement, RequestRate};

/// What a statement about an endpoint's rate changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateChange {
    /// Nothing.
    None,
    /// The endpoint begins to limit its requests.
    Begins,
    /// The endpoint names another rate than before.
    Adjusted,
    /// The endpoint takes any rate again.
    Ends,
}

/// The rate that one endpoint takes from all gateways together, according to its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RateLimit {
    rate: Option<RequestRate>,
    /// When the latest statement was made; `None` before the first one.
    stated_at: Option<Instant>,
}

impl RateLimit {
    /// The rate that the endpoint takes. `None` if it takes any.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// When the endpoint made its latest statement, as far as that is known.
    pub fn stated_at(&self) -> Option<Instant> {
        self.stated_at
    }

    /// Applies what an answer says that arrived at `now`, to a call that began at `sent_at`.
    ///
    /// An answer without a rate ends the limit only if its call began after the latest answer that named one. Earlier calls
    /// may have been answered before the endpoint began to limit its requests, and their answers may arrive late.
    pub fn observe(
        &mut self,
        statement: RateStatement,
        sent_at: Instant,
        now: Instant,
    ) -> RateChange {
        match statement {
            RateStatement::Limited(rate) => self.apply(Some(rate), Some(now)),
            RateStatement::Unlimited if self.rate.is_some() && self.stated_at < Some(sent_at) => {
                self.apply(None, Some(now))
            }
            RateStatement::Unlimited | RateStatement::Unreadable => RateChange::None,
        }
    }

    /// Applies a statement that the endpoint made at `stated_at`, or before all that the clock can tell, unless a later one is
    /// known.
    pub fn apply(&mut self, rate: Option<RequestRate>, stated_at: Option<Instant>) -> RateChange {
        if self.stated_at > stated_at {
            return RateChange::None;
        }
        self.stated_at = stated_at;
        let before = std::mem::replace(&mut self.rate, rate);
        match (before, rate) {
            (None, Some(_)) => RateChange::Begins,
            (Some(_), None) => RateChange::Ends,
            (before, rate) if before != rate => RateChange::Adjusted,
            _ => RateChange::None,
        }
    }
}
