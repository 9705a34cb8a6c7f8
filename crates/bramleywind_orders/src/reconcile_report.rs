use std::collections::BTreeSet;

use bramleywind_types::EndpointId;

use crate::{OrderAction, OrderOutcome};

/// The result of handling one missing order in a reconciliation round.
///
/// ```
/// use bramleywind_orders::{OrderOutcome, OrderResult};
///
/// assert_eq!(OrderResult::Sent(OrderOutcome::Fenced).name(), "fenced");
/// assert_eq!(OrderResult::WaitsForPermit.name(), "waits_for_permit");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// An attempt was made to send the order, with this outcome.
    Sent(OrderOutcome),
    /// The engine's state shows that the order was executed.
    Confirmed,
    /// The order needs weights, and no weight store is configured.
    NoWeightStore,
    /// The order needs weights, and no download permit was available.
    WaitsForPermit,
    /// The store did not confirm the lease or grant a permit, so the order was not sent.
    StoreUnavailable,
    /// This process does not hold the lease, or the lease ends too soon.
    NoLease,
    /// Orders of the previous lease holder may still be in flight.
    Settling,
}

impl OrderResult {
    /// Returns the name of the result in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sent(OrderOutcome::Accepted) => "accepted",
            Self::Sent(OrderOutcome::Fenced) => "fenced",
            Self::Sent(OrderOutcome::Refused) => "refused",
            Self::Sent(OrderOutcome::NotSent) => "not_sent",
            Self::Sent(OrderOutcome::Unknown) => "unknown",
            Self::Confirmed => "confirmed",
            Self::NoWeightStore => "no_weight_store",
            Self::WaitsForPermit => "waits_for_permit",
            Self::StoreUnavailable => "store_unavailable",
            Self::NoLease => "no_lease",
            Self::Settling => "settling",
        }
    }
}

/// A missing order and the result of handling it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderStep {
    /// The endpoint id of the engine.
    pub endpoint: EndpointId,
    /// The action that the order asks for.
    pub action: OrderAction,
    /// The result.
    pub result: OrderResult,
}

/// The counts and results of one reconciliation round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReconcileReport {
    /// The number of engines whose state was read.
    pub read: usize,
    /// The number of engines that gave no usable answer.
    pub unreadable: usize,
    /// The number of orders still missing after the engines were handled.
    pub missing: usize,
    /// The number of loaded models that the configuration does not ask for.
    pub unexpected: usize,
    /// The engines with an order that waits for a permit. The caller can reconcile them again soon.
    pub waiting: BTreeSet<EndpointId>,
    /// The results of the handled orders, in chronological order.
    pub steps: Vec<OrderStep>,
}
