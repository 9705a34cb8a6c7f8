/// The restrictions on sending a request, given the crashes of endpoints with the request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request has no crash and may be sent freely.
    Clear,
    /// The request has a crash, but fewer than [`crate::MAX_CRASHES`]. [`crate::CrashTracker::may_retry_on`] must be
    /// checked before choosing an endpoint.
    Isolated,
    /// The request has at least [`crate::MAX_CRASHES`] crashes. It must be refused as `may_have_run`, not to be
    /// repeated.
    Refused,
}
