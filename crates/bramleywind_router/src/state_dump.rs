use bramleywind_routing::EndpointTableDump;
use bramleywind_types::{ConfigRevision, DataCentreId, InstanceId};
use serde::Serialize;

use crate::{DrainPhase, RouterState};

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
            home_keys: state.key_home.borrow().len(),
        }
    }
}
