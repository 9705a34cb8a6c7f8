use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

/// The clock of a ledger. Only delays and deadlines depend on it; the guarantee that a budget is never
/// overspent does not.
#[derive(Debug, Clone, Default)]
pub enum LedgerClock {
    /// The monotonic clock of the system.
    #[default]
    System,
    /// A clock that a test or a simulation advances.
    Manual(Rc<Cell<Instant>>),
}

impl LedgerClock {
    /// Returns a clock that stands still until [`LedgerClock::advance`] is called on it or on a clone.
    pub fn manual() -> Self {
        Self::Manual(Rc::new(Cell::new(Instant::now())))
    }

    /// Returns the current time of the clock.
    pub fn now(&self) -> Instant {
        match self {
            Self::System => Instant::now(),
            Self::Manual(now) => now.get(),
        }
    }

    /// Advances a manual clock by `step`. Has no effect on the system clock.
    pub fn advance(&self, step: Duration) {
        if let Self::Manual(now) = self {
            now.set(now.get() + step);
        }
    }
}
