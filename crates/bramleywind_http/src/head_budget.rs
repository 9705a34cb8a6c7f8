use std::{cell::Cell, rc::Rc};

/// The number of bytes that may arrive before the head of a response is complete. Interim responses count, and so does
/// the beginning of the body, which may arrive together with the head.
pub(crate) const MAX_BYTES_BEFORE_RESPONSE: usize = 64 * 1024;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum BudgetState {
    /// No head is expected.
    #[default]
    Idle,
    Reading {
        remaining: usize,
    },
    Exceeded,
}

/// Bounds what a connection receives before the head of a response is complete. A limit on the size of each head does not:
/// a peer may send interim responses without end.
///
/// Clones share one budget: the sender of requests begins and ends it, the stream uses it up.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadBudget(Rc<Cell<BudgetState>>);

impl HeadBudget {
    /// Begins to count, because a request is about to be sent.
    pub(crate) fn begin(&self) {
        self.0.set(BudgetState::Reading { remaining: MAX_BYTES_BEFORE_RESPONSE });
    }

    /// Stops counting. Returns whether the budget was exceeded.
    pub(crate) fn end(&self) -> bool {
        self.0.replace(BudgetState::Idle) == BudgetState::Exceeded
    }

    /// Counts received bytes. Returns whether they are within the budget.
    pub(crate) fn spend(&self, bytes: usize) -> bool {
        if let BudgetState::Reading { remaining } = self.0.get() {
            self.0.set(match remaining.checked_sub(bytes) {
                Some(remaining) => BudgetState::Reading { remaining },
                None => BudgetState::Exceeded,
            });
        }
        self.0.get() != BudgetState::Exceeded
    }
}
