//! What an engine has besides its models. The two are alike and used together, so they stand in one file.

use bramleywind_macros::domain_type;
use bramleywind_types::{AdapterName, ModelId, VersionName};
use schemars::JsonSchema;

/// The version of a model that an engine should have.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The model, one of the engine's.
    pub model: ModelId,
    /// The version, as the weight store names it.
    pub version: VersionName,
}

/// An adapter that an engine should have.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelAdapter {
    /// The model, one of the engine's.
    pub model: ModelId,
    /// The adapter, as the weight store names it.
    pub adapter: AdapterName,
}
