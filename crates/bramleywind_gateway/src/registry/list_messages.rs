use std::time::{Duration, Instant};

use bramleywind_macros::domain_type;
use bramleywind_store::StoreVersion;
use bramleywind_types::ConfigRevision;

use super::ListDigest;
use crate::endpoints::EndpointRecord;

/// The longest time for which an answer about the list of endpoints is delayed.
pub const MAX_QUERY_WAIT: Duration = Duration::from_secs(1);

/// A gateway's question to another one how its list of endpoints differs.
#[domain_type]
pub struct ListQuery {
    /// The version of the registry that the asking gateway knows; [`StoreVersion::MISSING`] if it knows none.
    pub version: StoreVersion,
    /// The revision of the configuration that it has in force.
    pub config_revision: Option<ConfigRevision>,
    /// The digests of its list.
    pub digest: ListDigest,
    /// How long the answer may be delayed while the lists do not differ, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a [`ListQuery`].
#[domain_type]
pub struct ListAnswer {
    /// The version of the registry that the answering gateway knows.
    pub version: StoreVersion,
    /// The age of its list when the answer was made, in milliseconds; `None` if it has read no list, or the list may lack changes.
    pub age_ms: Option<u64>,
    /// The revision of the configuration that the answering gateway has in force.
    pub config_revision: Option<ConfigRevision>,
    /// The age of that configuration, as that of the list.
    pub config_age_ms: Option<u64>,
    /// How long after the query the answer was made, in milliseconds.
    pub waited_ms: u64,
    /// The parts of its list that differ, each with all its records.
    pub parts: Vec<ListPart<EndpointRecord>>,
}

impl ListAnswer {
    /// Returns the earliest time at which the answer can have been made, by the time of the query.
    pub fn made_at(&self, asked_at: Instant) -> Instant {
        asked_at + MAX_QUERY_WAIT.min(Duration::from_millis(self.waited_ms))
    }
}

/// A part of a list.
#[domain_type]
pub struct ListPart<R> {
    /// The number of the part.
    pub number: usize,
    /// All records of the part.
    pub records: Vec<R>,
}
