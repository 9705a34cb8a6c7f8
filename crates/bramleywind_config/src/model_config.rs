use bramleywind_macros::domain_type;
use bramleywind_types::ModelId;
use schemars::JsonSchema;

/// A model that engines serve.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The model's name, as callers give it.
    pub id: ModelId,
    /// Whether a request may be run again after a failure.
    pub idempotent: bool,
    /// The most tokens that one request may ask for, prompt and answer together.
    pub max_request_tokens: u32,
}
