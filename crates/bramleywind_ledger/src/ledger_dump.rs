use std::collections::BTreeMap;

use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId, InstanceId};

use crate::{BudgetBalance, PeerRecord, WitnessId};

/// The state of a ledger for the operator port. It contains no secrets and no request keys.
#[domain_type]
pub struct LedgerDump {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The id of the process run.
    pub run: IncarnationId,
    /// The current incarnation.
    pub incarnation: IncarnationId,
    /// Whether the member record is known to name the incarnation.
    pub registered: bool,
    /// The witnesses of the member record.
    pub witnesses: Vec<WitnessId>,
    /// The other live routers.
    pub peers: Vec<PeerRecord>,
    /// The balances of the budgets whose pages this router has cached.
    pub budgets: BTreeMap<BudgetId, BudgetBalance>,
    /// The incarnations whose reclaim is not complete, with their instances.
    pub reclaims: BTreeMap<IncarnationId, InstanceId>,
    /// The number of late settlements that have yet to be written to the store.
    pub late_settlements: usize,
    /// The number of queued settlements and cancellations of loans, without those that are being sent.
    pub loan_messages: usize,
    /// The number of journals of other routers that this one holds as their witness.
    pub journals_held: usize,
    /// The number of writes that the ledger has sent to the store.
    pub store_writes: u64,
    /// The number of reads and listings that the ledger has sent to the store.
    pub store_reads: u64,
}
