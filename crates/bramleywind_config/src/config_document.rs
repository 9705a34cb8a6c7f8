use bramleywind_macros::domain_type;
use schemars::JsonSchema;

use crate::{BudgetConfig, EndpointConfig, ModelConfig, ServiceConfig, WorkspaceConfig};

/// The version of the document format that this program reads and writes.
pub const FORMAT_VERSION: u32 = 1;

/// The fleet configuration: which workspaces may spend which budgets, and on which models, services and endpoints.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The version of the document format. It must be [`FORMAT_VERSION`].
    pub format: u32,
    /// The customers.
    pub workspaces: Vec<WorkspaceConfig>,
    /// The prepaid budgets of the workspaces.
    pub budgets: Vec<BudgetConfig>,
    /// The models that engines serve.
    pub models: Vec<ModelConfig>,
    /// The services other than model engines.
    pub services: Vec<ServiceConfig>,
    /// The back ends that run model engines and services.
    pub endpoints: Vec<EndpointConfig>,
}
