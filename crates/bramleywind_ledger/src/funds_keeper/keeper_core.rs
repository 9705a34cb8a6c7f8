use std::cell::RefCell;

use super::keeper_state::KeeperState;
use crate::signal::Signal;

/// The part of a keeper that needs no store and no link.
#[derive(Debug)]
pub(super) struct KeeperCore {
    /// Never borrowed across an await.
    pub(super) state: RefCell<KeeperState>,
    /// Something is to be done by [`crate::FundsKeeper::run`].
    pub(super) work: Signal,
    /// Something has changed that a caller may wait for.
    pub(super) changed: Signal,
}
