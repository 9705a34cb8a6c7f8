use crate::PrefixHash;

/// What the choice of an endpoint depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// The beginning of the prompt, if the request has one worth caching.
    pub prefix: Option<PrefixHash>,
    /// The estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub answer_tokens: u32,
}
