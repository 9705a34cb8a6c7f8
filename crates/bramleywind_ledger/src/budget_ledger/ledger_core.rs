use std::cell::RefCell;

use super::ledger_state::LedgerState;
use crate::signal::Signal;

/// The part of a keeper that needs no store and no link.
#[derive(Debug)]
pub(super) struct LedgerCore {
    /// Never borrowed across an await.
    pub(super) state: RefCell<LedgerState>,
    /// Something is to be done by [`crate::BudgetLedger::run`].
    pub(super) work: Signal,
    /// Something has changed that a caller may wait for.
    pub(super) changed: Signal,
}
