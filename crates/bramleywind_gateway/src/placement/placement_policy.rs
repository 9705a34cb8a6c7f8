use super::Candidate;

/// What matters of a request for its placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The length of its prompt; zero if it has none.
    pub prompt_tokens: u64,
    /// The part of the prompt that other requests share.
    pub shared_tokens: u64,
    /// A random number that decides between equals.
    pub tie_break: u64,
}

/// Chooses an endpoint.
pub trait PlacementPolicy {
    /// The index of the endpoint that gets the request; nothing if there is no candidate.
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize>;
}
