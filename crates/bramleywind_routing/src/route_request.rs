use crate::PrefixHash;

/// The properties of a request that the choice of an endpoint depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// The hash of the prompt's beginning, or `None` if the request has no prompt worth caching.
    pub prefix: Option<PrefixHash>,
    /// The estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the answer, in tokens.
    pub answer_tokens: u32,
}
