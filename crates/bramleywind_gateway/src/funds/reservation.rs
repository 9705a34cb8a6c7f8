use std::{cell::RefCell, rc::Rc};

use bramleywind_types::{TokenCount, WorkspaceId};

use super::BudgetLedger;

/// Tokens reserved for one request. Dropping the reservation charges the request for the tokens that it has used.
#[derive(Debug)]
pub struct Reservation {
    ledger: Rc<RefCell<BudgetLedger>>,
    workspace: WorkspaceId,
    limit: TokenCount,
    used: TokenCount,
    /// Tokens that an endpoint may be using while its answer is outstanding.
    exposed: TokenCount,
}

impl Reservation {
    pub(super) fn new(
        ledger: Rc<RefCell<BudgetLedger>>,
        workspace: WorkspaceId,
        limit: TokenCount,
    ) -> Self {
        Self { ledger, workspace, limit, used: TokenCount(0), exposed: TokenCount(0) }
    }

    /// Raises the charge to `used` tokens. The charge never decreases and never exceeds the reserved tokens.
    pub fn charge(&mut self, used: TokenCount) {
        self.used = self.used.max(used.min(self.limit));
    }

    /// Sets the tokens that an endpoint may use while its answer is outstanding. They are charged if the caller
    /// disconnects in the meantime.
    pub fn expose(&mut self, tokens: TokenCount) {
        self.exposed = tokens.min(self.limit);
    }

    /// Turns the reserved tokens into a loan to another process.
    pub(super) fn lend(mut self) -> TokenCount {
        let tokens = std::mem::take(&mut self.limit);
        self.ledger.borrow_mut().lend_reserved(&self.workspace, tokens);
        tokens
    }

    /// Returns the charge so far.
    pub fn used(&self) -> TokenCount {
        self.used
    }

    /// Returns the number of reserved tokens.
    pub fn limit(&self) -> TokenCount {
        self.limit
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.used.max(self.exposed);
        self.ledger.borrow_mut().settle(&self.workspace, self.limit, used);
    }
}
