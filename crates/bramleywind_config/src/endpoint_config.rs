use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, EndpointId, InstanceId, ModelId, RoleName, ServiceId};
use schemars::JsonSchema;

use crate::{ModelAdapter, ModelVersion};

/// A back end that runs a model engine or a service.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EndpointConfig {
    /// The endpoint's unique name.
    pub id: EndpointId,
    /// The instance that the endpoint runs on, as named in the platform's instance list.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The IP address and port of the endpoint.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The number of requests that the endpoint runs concurrently. Further requests wait in the routers.
    pub slots: u32,
    /// What the endpoint serves.
    pub role: EndpointRole,
    /// Whether the endpoint rejects an order with an outdated fencing token.
    pub checks_fencing: bool,
}

/// What an endpoint serves.
#[domain_type]
#[derive(JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointRole {
    /// A model engine.
    Engine {
        /// The models that the engine serves.
        models: Vec<ModelId>,
        /// The model versions that the engine should have. A model that is not listed may have any version.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        versions: Vec<ModelVersion>,
        /// The adapters that the engine should have.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        adapters: Vec<ModelAdapter>,
        /// The role that the engine should take on. If omitted, its role is left unchanged.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        role: Option<RoleName>,
    },
    /// A service other than a model engine.
    Service {
        /// The service that the endpoint runs.
        service: ServiceId,
    },
}
