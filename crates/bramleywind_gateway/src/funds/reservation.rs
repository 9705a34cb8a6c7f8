use std::{cell::RefCell, rc::Rc};

use bramleywind_types::{TokenCount, WorkspaceId};

use super::BudgetLedger;

/// Tokens that are set aside for one request. When dropped, the request is charged for what it has used.
#[derive(Debug)]
pub struct Reservation {
    ledger: Rc<RefCell<BudgetLedger>>,
    workspace: WorkspaceId,
    limit: TokenCount,
    used: TokenCount,
    /// Tokens that the endpoint may be using while its answer is outstanding.
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

    /// Raises the charge. It never falls, and never exceeds what is set aside.
    pub fn charge(&mut self, used: TokenCount) {
        self.used = self.used.max(used.min(self.limit));
    }

    /// Notes what an endpoint may use while its answer is outstanding. If the caller leaves meanwhile, it is charged.
    pub fn expose(&mut self, tokens: TokenCount) {
        self.exposed = tokens.min(self.limit);
    }

    /// The charge so far.
    pub fn used(&self) -> TokenCount {
        self.used
    }

    /// The tokens that are set aside.
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
