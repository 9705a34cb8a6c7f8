use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Where a keeper reads the time. No safety rule depends on it, only delays and deadlines do.
#[derive(Debug, Clone, Default)]
pub enum LedgerClock {
    /// The monotonic clock of the system.
    #[default]
    System,
    /// A clock that a test or a simulation moves.
    Manual(Rc<Cell<Instant>>),
}

impl LedgerClock {
    /// A clock that stands still until [`LedgerClock::advance`] is called on it or on a clone.
    pub fn manual() -> Self {
        Self::Manual(Rc::new(Cell::new(Instant::now())))
    }

    /// The time of the clock.
    pub fn now(&self) -> Instant {
        match self {
            Self::System => Instant::now(),
            Self::Manual(now) => now.get(),
        }
    }

    /// Moves a manual clock on; the system clock takes no notice.
    pub fn advance(&self, step: Duration) {
        if let Self::Manual(now) = self {
            now.set(now.get() + step);
        }
    }
}
