use bramleywind_macros::domain_type;
use bramleywind_types::ServiceId;

use super::EngineTraits;

/// The configuration of a service: a group of endpoints that serve the same requests.
#[domain_type]
pub struct ServiceConfig {
    /// The service's name.
    pub id: ServiceId,
    /// Maximum number of connections that one endpoint accepts from all gateways together.
    pub connection_limit: u32,
    /// The properties of its engines, if it is a model service.
    pub engine: Option<EngineTraits>,
}
