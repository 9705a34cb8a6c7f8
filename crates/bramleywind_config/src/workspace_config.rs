use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, ModelId, ServiceId, WorkspaceId};
use schemars::JsonSchema;

use crate::KeyHash;

/// A customer: its keys, and what it may reach.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// The workspace's name.
    pub id: WorkspaceId,
    /// The bearer keys that belong to it.
    pub keys: Vec<KeyConfig>,
    /// The models it may call.
    pub models: Vec<ModelId>,
    /// The services it may call.
    pub services: Vec<ServiceId>,
}

/// A bearer key, stored as a hash so that the document holds no secret.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// The SHA-256 hash of the bearer key.
    pub hash: KeyHash,
    /// The budget that pays for requests with this key. It belongs to the same workspace.
    pub budget: BudgetId,
}
