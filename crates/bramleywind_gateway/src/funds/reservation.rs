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
        let charge = self.certain_charge();
        self.used = self.used.max(used.min(self.limit));
        self.update_certain_charge(charge);
    }

    /// Sets the tokens that an endpoint may use while its answer is outstanding. They are charged if the caller
    /// disconnects in the meantime.
    pub fn expose(&mut self, tokens: TokenCount) {
        let charge = self.certain_charge();
        self.exposed = tokens.min(self.limit);
        self.update_certain_charge(charge);
    }

    /// Returns the tokens that the request is charged if it ends now.
    fn certain_charge(&self) -> TokenCount {
        self.used.max(self.exposed)
    }

    /// Tells the ledger how the certain charge has changed.
    fn update_certain_charge(&self, before: TokenCount) {
        let now = self.certain_charge();
        if now != before {
            self.ledger.borrow_mut().change_certain_charge(&self.workspace, before, now);
        }
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
        let used = self.certain_charge();
        self.ledger.borrow_mut().change_certain_charge(&self.workspace, used, TokenCount(0));
        self.ledger.borrow_mut().settle(&self.workspace, self.limit, used);
    }
}
