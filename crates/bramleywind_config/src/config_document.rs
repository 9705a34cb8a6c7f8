use bramleywind_macros::domain_type;
use schemars::JsonSchema;

use crate::{BudgetConfig, EndpointConfig, ModelConfig, ServiceConfig, WorkspaceConfig};

/// The version of the document's format that this program reads and writes.
pub const FORMAT_VERSION: u32 = 1;

/// Everything that operators decide: who may spend what, where.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The version of the format, [`FORMAT_VERSION`].
    pub format: u32,
    /// The customers.
    pub workspaces: Vec<WorkspaceConfig>,
    /// The prepaid budgets of the workspaces.
    pub budgets: Vec<BudgetConfig>,
    /// The models that engines serve.
    pub models: Vec<ModelConfig>,
    /// The plain services.
    pub services: Vec<ServiceConfig>,
    /// The back ends.
    pub endpoints: Vec<EndpointConfig>,
}
