use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, ModelId, ServiceId, WorkspaceId};
use schemars::JsonSchema;

use crate::KeyHash;

/// A customer, with its bearer keys and the models and services that it may call.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// The workspace's unique name.
    pub id: WorkspaceId,
    /// The bearer keys of the workspace.
    pub keys: Vec<KeyConfig>,
    /// The models that the workspace may call.
    pub models: Vec<ModelId>,
    /// The services that the workspace may call.
    pub services: Vec<ServiceId>,
}

/// A bearer key, stored as a hash so that the document contains no secret.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// The SHA-256 hash of the bearer key.
    pub hash: KeyHash,
    /// The budget that is charged for requests with this key. It must belong to the same workspace.
    pub budget: BudgetId,
}
