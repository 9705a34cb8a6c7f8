//! The model versions and adapters that an engine should have. The two types are alike and used together, so they
//! share a file.

use bramleywind_macros::domain_type;
use bramleywind_types::{AdapterName, ModelId, VersionName};
use schemars::JsonSchema;

/// The version of a model that an engine should have.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The model. It must be one of the engine's models.
    pub model: ModelId,
    /// The version, as named in the weight store.
    pub version: VersionName,
}

/// An adapter that an engine should have.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelAdapter {
    /// The model. It must be one of the engine's models.
    pub model: ModelId,
    /// The adapter, as named in the weight store.
    pub adapter: AdapterName,
}
