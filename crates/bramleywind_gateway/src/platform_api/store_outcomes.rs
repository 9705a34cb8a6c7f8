//! What the calls of the store come to. They are small and used together, so they stand in one file.

use std::fmt;

use bramleywind_store::StoreVersion;
use bramleywind_types::{EndpointId, WorkspaceId};

use crate::{config::FleetConfig, endpoints::EndpointRecord, funds::BudgetRecord};

/// Identifies a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Everything below a prefix, and the store's version as of which it is complete.
#[derive(Debug, Clone)]
pub struct ListPage<T> {
    /// The entries.
    pub entries: Vec<T>,
    /// The version to watch from.
    pub version: StoreVersion,
}

/// What has changed since a version.
#[derive(Debug, Clone)]
pub enum StoreChanges<T> {
    /// The changes in order, perhaps none, and the version to watch from.
    Changed {
        /// The changes.
        changes: Vec<T>,
        /// The version to watch from.
        version: StoreVersion,
    },
    /// The store no longer has the changes since that version; read everything again.
    HistoryLost,
}

/// A change of the endpoint registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry was written.
    Written(EndpointRecord),
    /// An entry was written that can't be read: it names no endpoint to use.
    Unreadable {
        /// The entry's name, if that much could be read.
        endpoint: Option<EndpointId>,
        /// What is wrong with it.
        reason: Box<str>,
    },
    /// An entry was removed.
    Removed(EndpointId),
}

/// A configuration as read from the store.
#[derive(Debug, Clone)]
pub enum LoadedConfig {
    /// The operators' configuration.
    Found {
        /// What could be read of it.
        config: Box<FleetConfig>,
        /// What could not be read, and why.
        skipped: Vec<Box<str>>,
    },
    /// The value is not a configuration.
    Unreadable {
        /// What is wrong with it.
        reason: Box<str>,
    },
    /// There is none yet.
    Missing,
}

/// A budget record as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetEntry {
    /// Whose budget it is.
    pub workspace: WorkspaceId,
    /// Its version; [`StoreVersion::MISSING`] if there is no record.
    pub version: StoreVersion,
    /// The record; empty if there is none.
    pub record: BudgetRecord,
}

/// What a write of several budget records came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All were written and have this version.
    Applied(StoreVersion),
    /// None was written, since a record had changed. The records are as they now stand.
    Conflict(Vec<BudgetEntry>),
    /// None was written, and none will be.
    NotApplied,
    /// The answer was lost: all may have been written, or may still be.
    Unknown,
}
