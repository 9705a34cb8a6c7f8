use std::net::SocketAddr;

use bramleywind_config::{EndpointConfig, EndpointRole};
use bramleywind_types::EndpointId;

use crate::OrderAction;

/// An engine and its desired state according to the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedEngine {
    /// The endpoint id of the engine.
    pub endpoint: EndpointId,
    /// The address of the engine.
    pub address: SocketAddr,
    /// Whether the engine refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// The desired results, in the order in which to send them.
    pub actions: Vec<OrderAction>,
}

impl WantedEngine {
    /// Returns the desired state of an endpoint, or `None` if the endpoint is not an engine.
    ///
    /// ```
    /// use bramleywind_config::{EndpointConfig, EndpointRole};
    /// use bramleywind_orders::WantedEngine;
    ///
    /// let config = EndpointConfig {
    ///     id: "desk-1".parse().unwrap(),
    ///     instance: "desk-1".parse().unwrap(),
    ///     data_centre: "akl-b".parse().unwrap(),
    ///     address: "192.0.2.31:8080".parse().unwrap(),
    ///     slots: 4,
    ///     role: EndpointRole::Service { service: "ordering-desk".parse().unwrap() },
    ///     checks_fencing: false,
    /// };
    /// assert!(WantedEngine::from_config(&config).is_none());
    /// ```
    pub fn from_config(config: &EndpointConfig) -> Option<Self> {
        let EndpointRole::Engine { models, versions, adapters, role } = &config.role else {
            return None;
        };
        // The role comes first, because engines may unload their models when it changes. A model precedes its
        // version and its adapters, which depend on it.
        let role = role.iter().map(|role| OrderAction::ChangeRole { role: role.clone() });
        let models = models.iter().map(|model| OrderAction::LoadModel { model: model.clone() });
        let versions = versions.iter().map(|version| OrderAction::LoadVersion {
            model: version.model.clone(),
            version: version.version.clone(),
        });
        let adapters = adapters.iter().map(|adapter| OrderAction::LoadAdapter {
            model: adapter.model.clone(),
            adapter: adapter.adapter.clone(),
        });
        Some(Self {
            endpoint: config.id.clone(),
            address: config.address,
            checks_fencing: config.checks_fencing,
            actions: role.chain(models).chain(versions).chain(adapters).collect(),
        })
    }
}
