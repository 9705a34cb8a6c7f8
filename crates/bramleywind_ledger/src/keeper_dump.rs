use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId, InstanceId};

use crate::{BudgetBalance, PeerRecord, WitnessId};

/// The state of a keeper for the operator port. It holds no secrets and no request keys.
#[domain_type]
pub struct LedgerDump {
    /// The instance of the router.
    pub instance: InstanceId,
    /// The process run.
    pub run: IncarnationId,
    /// The current incarnation.
    pub incarnation: IncarnationId,
    /// Whether the member record is known to name the incarnation.
    pub registered: bool,
    /// The witnesses of the member record.
    pub witnesses: Vec<WitnessId>,
    /// The other live routers.
    pub peers: Vec<PeerRecord>,
    /// The budgets that this router has touched.
    pub budgets: BTreeMap<BudgetId, BudgetBalance>,
    /// Incarnations whose reclaim has not ended, with their instances.
    pub reclaims: BTreeMap<IncarnationId, InstanceId>,
    /// How many late settlements wait for the store.
    pub late_settlements: usize,
    /// How many loans wait for a lender's answer to their settlement or cancellation.
    pub loan_messages: usize,
    /// How many journals of other routers this one holds.
    pub journals_held: usize,
    /// How many store writes this keeper has sent.
    pub store_writes: u64,
    /// How many reads and listings this keeper has sent.
    pub store_reads: u64,
}
