use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId};

/// Identifies a witness: one process run on one instance. A restarted process has lost its journals, so it
/// is a different witness.
#[domain_type]
#[derive(PartialOrd, Ord, Hash)]
pub struct WitnessId {
    /// The instance that the witness runs on.
    pub instance: InstanceId,
    /// The incarnation id that the witness's process was given at its start.
    pub run: IncarnationId,
}
