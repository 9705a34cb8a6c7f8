/// What the end of an endpoint changed for a request that was in flight on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEffect {
    /// The request was answered lately, so something else ended the endpoint.
    Harmless,
    /// The request is a suspect, and is still sent.
    Suspected,
    /// The request is refused from now on.
    Refused,
    /// The request was refused already.
    RefusedBefore,
}
