/// An endpoint that can take a request, as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Rendezvous hash of the endpoint and the prompt's shared prefix. All processes compute the same value, and each
    /// prefix orders the endpoints differently.
    pub affinity: u64,
    /// Number of this process's requests that the endpoint has not finished answering.
    pub in_flight: u32,
    /// Number of prompt tokens that the endpoint still has to prefill for those requests, until their first events.
    pub backlog_tokens: u64,
    /// Number of leading prompt tokens that the endpoint recently prefilled for this process and is expected to have
    /// cached.
    pub cached_tokens: u64,
    /// Number of requests from all processes at the endpoint, according to its last load report.
    pub reported_requests: Option<u32>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Smoothed latency in milliseconds: for each thousand prompt tokens, or for a request without a prompt.
    pub pace_ms: Option<f64>,
    /// Whether the endpoint failed recently and is backing off.
    pub is_avoided: bool,
    /// The smoothed fraction of this process's requests that the endpoint failed lately, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the endpoint runs in the gateway's data centre.
    pub is_local: bool,
}
