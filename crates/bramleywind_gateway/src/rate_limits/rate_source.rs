/// How this process learned what an endpoint says about its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateSource {
    /// From an answer of the endpoint to a request of this process.
    Answer,
    /// From a notice of another gateway.
    Notice,
    /// From a gateway that asked for a permit.
    PermitRequest,
    /// From a gateway that was asked for a permit.
    PermitReply,
}
