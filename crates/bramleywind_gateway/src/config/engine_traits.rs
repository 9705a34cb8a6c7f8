use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

/// Properties that all model engines of a service share.
#[domain_type]
#[derive(Copy)]
pub struct EngineTraits {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Size of an engine's KV cache, in tokens.
    pub cache_tokens: TokenCount,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}
