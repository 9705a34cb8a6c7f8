use bramleywind_claims::ClaimStats;
use bramleywind_ledger::LedgerDump;
use bramleywind_peer::{MembershipView, PeerClient};
use bramleywind_routing::EndpointTableDump;
use bramleywind_types::{ConfigRevision, DataCentreId, InstanceId};
use serde::Serialize;

use crate::{DrainPhase, OrderState, RouterState};

/// A snapshot of the state of a router, without secrets, as `GET /v1/dump` returns it.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The configuration revision in force, if there is one.
    pub revision: Option<ConfigRevision>,
    /// The phase of the drain.
    pub phase: DrainPhase,
    /// The number of running requests.
    pub running: usize,
    /// The number of requests that wait for an endpoint.
    pub waiting: usize,
    /// The state of the endpoints.
    pub endpoints: EndpointTableDump,
    /// The state of the token ledger.
    pub funds: LedgerDump,
    /// Statistics of the durable claims.
    pub claims: ClaimStats,
    /// This router's view of the other routers, or `None` before the peer client is connected.
    pub peers: Option<MembershipView>,
    /// The state of the task that sends orders to engines.
    pub orders: OrderState,
    /// The number of keys that this router remembers as a home.
    pub home_keys: usize,
}

impl StateDump {
    /// Captures the current state.
    pub fn capture(state: &RouterState) -> Self {
        let routes = state.routes.borrow();
        Self {
            instance: state.identity.instance.clone(),
            data_centre: state.identity.data_centre.clone(),
            revision: routes.as_ref().map(|routes| routes.revision),
            phase: state.phase(),
            running: state.running(),
            waiting: state.admission.waiting(),
            endpoints: state.admission.dump(),
            funds: state.ledger.dump(),
            claims: state.key_registry.claims.stats(),
            peers: state.link.client().map(PeerClient::view),
            orders: state.orders.clone(),
            home_keys: state.idempotency_cache.borrow().len(),
        }
    }
}
