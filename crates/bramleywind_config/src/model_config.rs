use bramleywind_macros::domain_type;
use bramleywind_types::ModelId;
use schemars::JsonSchema;

/// A model that is served by engines.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The model's unique name, which callers use in requests.
    pub id: ModelId,
    /// Whether a request can be retried safely after a failure.
    pub idempotent: bool,
    /// The maximum number of tokens of a request, prompt and response together.
    pub max_request_tokens: u32,
}
