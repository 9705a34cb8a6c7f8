use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, EndpointId, InstanceId, ModelId, RoleName, ServiceId};
use schemars::JsonSchema;

use crate::{ModelAdapter, ModelVersion};

/// A back end.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointConfig {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The instance that it runs on, as the platform's instance list names it.
    pub instance: InstanceId,
    /// Where the instance is.
    pub data_centre: DataCentreId,
    /// Its IP address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// How many requests it runs at once; more wait in the routers.
    pub slots: u32,
    /// What it serves.
    pub role: EndpointRole,
    /// Whether it refuses an order that carries an old fencing token.
    pub checks_fencing: bool,
}

/// What an endpoint serves.
#[domain_type]
#[derive(JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointRole {
    /// A model engine.
    Engine {
        /// The models it serves.
        models: Vec<ModelId>,
        /// The versions that it should have, for models of which the version matters.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        versions: Vec<ModelVersion>,
        /// The adapters that it should have.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        adapters: Vec<ModelAdapter>,
        /// The role that it should take on; nothing to leave it as it is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        role: Option<RoleName>,
    },
    /// A plain service.
    Service {
        /// The service it runs.
        service: ServiceId,
    },
}
