use super::Candidate;

/// What matters of a request for its placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Identifies the shared beginning of its prompt, if it has one.
    pub prefix: Option<u64>,
    /// A random number that decides between equals.
    pub tie_break: u64,
}

/// Chooses an endpoint.
pub trait PlacementPolicy {
    /// The index of the endpoint that gets the request; nothing if there is no candidate.
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize>;
}
