//! The results of calls to the store.

use std::fmt;

use bramleywind_store::{StoreVersion, UnavailableReason};
use bramleywind_types::{EndpointId, WorkspaceId};

use crate::{
    config::FleetConfig,
    crashes::{PartQuarantine, QuarantineRecord},
    endpoints::EndpointRecord,
    funds::BudgetRecord,
    members::MemberRecord,
};

/// The identifier of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The gateways of the fleet, and what they have recorded for each other.
#[derive(Debug, Clone, Default)]
pub struct FleetListing {
    /// The gateways that hold a lease.
    pub members: Vec<MemberRecord>,
    /// The requests that are refused because they crash endpoints.
    pub quarantines: Vec<QuarantineRecord>,
    /// The parts of prompts that are refused because they crash endpoints.
    pub part_quarantines: Vec<PartQuarantine>,
}

/// All entries below a prefix, and the store version as of which they are complete.
#[derive(Debug, Clone)]
pub struct ListPage<T> {
    /// The entries.
    pub entries: Vec<T>,
    /// The version to watch from.
    pub version: StoreVersion,
}

/// The changes since a version.
#[derive(Debug, Clone)]
pub enum StoreChanges<T> {
    /// The changes are known; there may be none.
    Changed {
        /// The changes in order.
        changes: Vec<T>,
        /// The version to watch from.
        version: StoreVersion,
    },
    /// The store no longer has the changes since that version, so everything must be read again.
    HistoryLost,
}

/// A change of the endpoint registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry was written.
    Written(EndpointRecord),
    /// An entry was written that cannot be parsed and is ignored.
    Unreadable {
        /// The endpoint's name, if it could be parsed.
        endpoint: Option<EndpointId>,
        /// The reason why the entry cannot be parsed.
        reason: Box<str>,
    },
    /// An entry was removed.
    Removed(EndpointId),
}

/// A configuration as read from the store.
#[derive(Debug, Clone)]
pub enum LoadedConfig {
    /// The operators' configuration was found.
    Found {
        /// The configuration, without the parts that could not be parsed.
        config: Box<FleetConfig>,
        /// The parts that could not be parsed, with the reasons.
        skipped: Vec<Box<str>>,
    },
    /// The value is not a configuration.
    Unreadable {
        /// The reason why the value cannot be parsed.
        reason: Box<str>,
    },
    /// The store has no configuration yet.
    Missing,
}

/// A budget record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetEntry {
    /// The workspace that the budget belongs to.
    pub workspace: WorkspaceId,
    /// The version of the record; [`StoreVersion::MISSING`] if there is no record.
    pub version: StoreVersion,
    /// The record; empty if there is none.
    pub record: BudgetRecord,
}

/// The outcome of a write of several budget records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All records were written and have this version.
    Applied(StoreVersion),
    /// No record was written, since one had changed. Holds the current records.
    Conflict(Vec<BudgetEntry>),
    /// No record was written, and none will be.
    NotApplied,
    /// The answer was lost. All records may have been written, or may still be.
    Unknown,
}

/// The outcome of a write of a presence record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresenceOutcome {
    /// The record was written and has this version.
    Written(StoreVersion),
    /// The record was not written, since the one in the store has another version.
    Conflict,
    /// The record was not written, and never will be.
    NotWritten(UnavailableReason),
    /// The answer was lost. The record may have been written, or may still be if the condition holds.
    Unknown(UnavailableReason),
}

/// The outcome of a write of a member record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberOutcome {
    /// The record was written and has this version.
    Written(StoreVersion),
    /// The record was not written, since the one in the store has this version.
    Conflict(StoreVersion),
    /// The record was not written, since the lease has ended.
    LeaseEnded,
}
