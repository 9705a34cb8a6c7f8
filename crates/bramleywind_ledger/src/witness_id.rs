use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId};

/// Names a witness: one process run on one instance. A restarted process has lost its journals and is not
/// the same witness.
#[domain_type]
#[derive(PartialOrd, Ord, Hash)]
pub struct WitnessId {
    /// The instance that the witness runs on.
    pub instance: InstanceId,
    /// The incarnation that the witness's process took when it started.
    pub run: IncarnationId,
}
