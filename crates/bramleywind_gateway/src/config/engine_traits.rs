use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

/// What the model engines of a service have in common.
#[domain_type]
#[derive(Copy)]
pub struct EngineTraits {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// The KV cache of an engine.
    pub cache_tokens: TokenCount,
    /// The most tokens that one event of a stream holds.
    pub tokens_per_event: u32,
}
