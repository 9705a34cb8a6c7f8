use bramleywind_macros::domain_type;
use bramleywind_types::ServiceId;

use super::EngineTraits;

/// A group of endpoints that serve the same requests.
#[domain_type]
pub struct ServiceConfig {
    /// Its name.
    pub id: ServiceId,
    /// The most connections that one endpoint accepts from all gateways together.
    pub connection_limit: u32,
    /// What its engines have in common, if it is a model service.
    pub engine: Option<EngineTraits>,
}
