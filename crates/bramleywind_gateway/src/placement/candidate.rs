/// An endpoint that could take a request, as this process sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Ranks endpoints for a prefix: all processes compute the same, and each prefix its own order.
    pub affinity: u64,
    /// Requests of this process that it has not answered.
    pub in_flight: u32,
    /// Prompt tokens of those that have no first event yet.
    pub prefill_tokens: u64,
    /// Requests of all processes inside it, by its last report.
    pub reported: Option<u32>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it failed lately.
    pub is_avoided: bool,
    /// Whether it runs in the gateway's own data centre.
    pub is_near: bool,
}
