use bramleywind_macros::domain_type;

use super::{ListDigest, ListPart};
use crate::{
    crashes::{PartQuarantine, QuarantineRecord},
    members::MemberRecord,
};

/// A gateway's question to another one how its list of gateways differs, and what it knows of refused requests.
#[domain_type]
pub struct FleetQuery {
    /// The digest of the list of the asking gateway.
    pub digest: ListDigest,
}

/// The answer to a [`FleetQuery`].
#[domain_type]
pub struct FleetAnswer {
    /// How long ago the answering gateway asked the store for its list, in milliseconds.
    pub age_ms: u64,
    /// The parts of its list that differ, each with all its records.
    pub parts: Vec<ListPart<MemberRecord>>,
    /// The requests that are refused because they crash endpoints.
    pub quarantines: Vec<QuarantineRecord>,
    /// The parts of prompts that are refused because they crash endpoints.
    pub part_quarantines: Vec<PartQuarantine>,
}
