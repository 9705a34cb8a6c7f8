use std::collections::BTreeSet;

use bramleywind_types::EndpointId;

use crate::{OrderAction, OrderOutcome};

/// What became of a missing order in a round.
///
/// ```
/// use bramleywind_orders::{OrderOutcome, OrderResult};
///
/// assert_eq!(OrderResult::Sent(OrderOutcome::Fenced).name(), "fenced");
/// assert_eq!(OrderResult::WaitsForPermit.name(), "waits_for_permit");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// It was sent, or tried to be.
    Sent(OrderOutcome),
    /// The engine's state shows that it was carried out.
    Confirmed,
    /// It needs weights, and the settings name no weight store.
    NoWeightStore,
    /// It needs weights, and the rate allows no download yet.
    WaitsForPermit,
    /// The store does not answer, so nothing is sent.
    StoreUnavailable,
    /// This process does not hold the duty for long enough.
    NoLease,
    /// Orders of the previous holder may still be on their way.
    Settling,
}

impl OrderResult {
    /// The name in metrics and logs.
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

/// One missing order, with what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderStep {
    /// The engine.
    pub endpoint: EndpointId,
    /// What was asked for.
    pub action: OrderAction,
    /// What became of it.
    pub result: OrderResult,
}

/// What one round found and did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReconcileReport {
    /// Engines whose state was read.
    pub read: usize,
    /// Engines that gave no usable answer.
    pub unreadable: usize,
    /// Orders that were still missing at the end of the round.
    pub missing: usize,
    /// Loaded models that the configuration does not ask for.
    pub unexpected: usize,
    /// Engines of which an order waits for a permit, so that they can be looked at again soon.
    pub waiting: BTreeSet<EndpointId>,
    /// Orders that were dealt with, in order.
    pub steps: Vec<OrderStep>,
}
