use super::Candidate;

/// Holds the properties of a request that affect its placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Length of the prompt in tokens; zero for a request without a prompt.
    pub prompt_tokens: u64,
    /// Number of leading prompt tokens that are shared with other requests.
    pub shared_tokens: u64,
    /// Random number that selects among equivalent endpoints.
    pub tie_break: u64,
}

/// A policy that chooses the endpoint for a request.
pub trait PlacementPolicy {
    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize>;
}
