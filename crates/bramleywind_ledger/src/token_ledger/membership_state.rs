use std::collections::BTreeSet;

use bramleywind_store::StoreVersion;
use bramleywind_types::IncarnationId;

use crate::{MemberRecord, retry_delay::RetryDelay};

/// The state of a router's own member record.
#[derive(Debug, Default)]
pub(crate) struct MembershipState {
    /// Whether [`crate::TokenLedger::register`] was called.
    pub(crate) started: bool,
    /// Whether the record in the store is known to have named the current incarnation.
    pub(crate) registered: bool,
    pub(crate) record: Option<(StoreVersion, MemberRecord)>,
    /// The lowest version that the record can have.
    pub(crate) min_version: StoreVersion,
    /// The highest version expected by a write whose outcome is unknown, as in
    /// [`PageState`](super::page_state::PageState).
    pub(crate) uncertain_write: Option<StoreVersion>,
    pub(crate) in_flight: bool,
    pub(crate) update_needed: bool,
    pub(crate) retry: RetryDelay,
    pub(crate) attempts: u64,
    /// Earlier incarnations whose slices are all closed.
    pub(crate) closed_incarnations: BTreeSet<IncarnationId>,
}

impl MembershipState {
    /// Resets the state for a new incarnation. Versions and uncertain writes are kept.
    pub(crate) fn restart(&mut self) {
        self.registered = false;
        self.update_needed = self.started;
        self.retry = RetryDelay::default();
    }
}
