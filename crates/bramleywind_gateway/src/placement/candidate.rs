/// An endpoint that could take a request, as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Ranks endpoints for a prefix: all processes compute the same, and each prefix its own order.
    pub affinity: u64,
    /// Requests of this process that it has not answered.
    pub in_flight: u32,
    /// Prompt tokens that it has to read for those that have no first event yet.
    pub backlog_tokens: u64,
    /// Tokens of the request's prompt that it read lately for this process, and so holds in its cache.
    pub cached_tokens: u64,
    /// Requests of all processes inside it, by its last report.
    pub reported_requests: Option<u32>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Milliseconds that it took lately for a thousand prompt tokens, or for a request without a prompt.
    pub pace_ms: Option<f64>,
    /// Whether it failed lately.
    pub is_avoided: bool,
    /// Whether it runs in the gateway's own data centre.
    pub is_local: bool,
}
