use std::cell::RefCell;

use super::ledger_state::LedgerState;
use crate::signal::Signal;

/// The part of a ledger that is independent of its store and link types.
#[derive(Debug)]
pub(super) struct LedgerCore {
    /// The state, which is never borrowed across an await.
    pub(super) state: RefCell<LedgerState>,
    /// Notified when there may be work for [`crate::TokenLedger::run`].
    pub(super) work: Signal,
    /// Notified when a change may end the wait of a caller.
    pub(super) changed: Signal,
}
