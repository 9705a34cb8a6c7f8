//! The ids of claims and of the processes that hold them. These types are only used together.

use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId};

/// The sequence number of a claim within one process run.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
#[serde(transparent)]
pub struct ClaimSequence(pub u64);

/// The id of a claim. No two claims ever have the same id, so a record in the store shows which attempt wrote it.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// The process run that made the claim. It does not change when a budget slice of the run is sealed.
    pub run: IncarnationId,
    /// The sequence number of the claim within the run.
    pub sequence: ClaimSequence,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.run, self.sequence.0)
    }
}

/// The process that holds a claim. A restarted process has another run and does not answer for the previous one.
#[domain_type]
#[derive(PartialOrd, Ord, Hash)]
pub struct ClaimHolder {
    /// The instance that the process runs on.
    pub instance: InstanceId,
    /// The incarnation that the process was assigned when it started.
    pub run: IncarnationId,
}
