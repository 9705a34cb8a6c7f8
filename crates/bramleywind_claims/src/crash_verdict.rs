/// How a request may be sent, given the endpoints that crashed under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It has no strike.
    Clear,
    /// It has one strike: ask [`crate::CrashTracker::may_retry_on`] before choosing an endpoint.
    Isolated,
    /// It has [`crate::MAX_CRASHES`] strikes or more: refuse it as `may_have_run`, never to be repeated.
    Refused,
}
