use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId, TokenCount, WorkspaceId};

/// The most tokens of each budget that a process takes from its own grants over its lifetime. Budgets that are missing have zero.
pub type SpendCeilings = BTreeMap<WorkspaceId, TokenCount>;

/// A message to a witness.
#[domain_type]
pub struct WitnessRequest {
    /// The incarnation of the witness. Its successor refuses the request.
    pub witness: IncarnationId,
    /// The instance of the holder of grants.
    pub instance: InstanceId,
    /// The incarnation of the holder.
    pub holder: IncarnationId,
    /// What the message says.
    pub claim: WitnessClaim,
}

/// What a holder of grants, or its successor, says to its witness.
#[domain_type]
pub enum WitnessClaim {
    /// The holder is about to name the witness in its presence record. These are all its ceilings.
    Begin(SpendCeilings),
    /// The holder raises some ceilings, or only shows that it is alive.
    Raise(SpendCeilings),
    /// The holder has ended, according to its successor on the same instance.
    Ended,
}

/// The answer of a witness.
#[domain_type]
pub enum WitnessReply {
    /// The ceilings are known to the witness.
    Confirmed,
    /// All ceilings of an ended holder. None will be raised any more.
    Closed(SpendCeilings),
    /// The process is not the witness of this holder.
    Refused,
}
