use bramleywind_claims::ClaimStats;
use bramleywind_ledger::LedgerDump;
use bramleywind_peer::{MembershipView, PeerClient};
use bramleywind_routing::EndpointTableDump;
use bramleywind_types::{ConfigRevision, DataCentreId, InstanceId};
use serde::Serialize;

use crate::{DrainPhase, OrderState, RouterState};

/// The whole state of a router, without secrets.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// The instance.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// The revision in force.
    pub revision: Option<ConfigRevision>,
    /// How far the drain is.
    pub phase: DrainPhase,
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for an endpoint.
    pub waiting: usize,
    /// The endpoints.
    pub endpoints: EndpointTableDump,
    /// The budgets.
    pub funds: LedgerDump,
    /// The durable claims.
    pub claims: ClaimStats,
    /// The other routers; nothing before the peer connections are up.
    pub peers: Option<MembershipView>,
    /// The order duty.
    pub orders: OrderState,
    /// Keys that this router remembers as a home.
    pub home_keys: usize,
}

impl StateDump {
    /// The state as it is now.
    pub fn of(state: &RouterState) -> Self {
        let routes = state.routes.borrow();
        Self {
            instance: state.identity.instance.clone(),
            data_centre: state.identity.data_centre.clone(),
            revision: routes.as_ref().map(|routes| routes.revision),
            phase: state.phase(),
            running: state.running(),
            waiting: state.admission.waiting(),
            endpoints: state.admission.dump(),
            funds: state.funds.dump(),
            claims: state.key_registry.claims.stats(),
            peers: state.link.client().map(PeerClient::view),
            orders: state.orders.clone(),
            home_keys: state.idempotency_cache.borrow().len(),
        }
    }
}
