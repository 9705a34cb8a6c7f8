use std::collections::BTreeSet;

use bramleywind_store::StoreVersion;
use bramleywind_types::IncarnationId;

use crate::{MemberRecord, retry_delay::RetryDelay};

/// What a keeper knows of its own member record.
#[derive(Debug, Default)]
pub(crate) struct MembershipState {
    /// Whether [`crate::BudgetLedger::register`] was called.
    pub(crate) started: bool,
    /// Whether the store's record is known to have named the current incarnation.
    pub(crate) registered: bool,
    pub(crate) record: Option<(StoreVersion, MemberRecord)>,
    /// The record has at least this version.
    pub(crate) min_version: StoreVersion,
    /// As for pages: the highest version expected by a write whose fate is not known.
    pub(crate) uncertain_write: Option<StoreVersion>,
    pub(crate) in_flight: bool,
    pub(crate) update_needed: bool,
    pub(crate) retry: RetryDelay,
    pub(crate) attempts: u64,
    /// Earlier incarnations whose slices are all closed.
    pub(crate) closed_incarnations: BTreeSet<IncarnationId>,
}

impl MembershipState {
    /// Starts over for a new incarnation. What is known of versions and writes in doubt stays.
    pub(crate) fn restart(&mut self) {
        self.registered = false;
        self.update_needed = self.started;
        self.retry = RetryDelay::default();
    }
}
