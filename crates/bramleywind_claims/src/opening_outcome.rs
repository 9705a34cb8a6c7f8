use crate::{ClaimHolder, ClaimTicket, RecordedOutcome};

/// What an attempt to open a claim came to.
#[derive(Debug)]
pub enum OpeningOutcome {
    /// This process holds the claim and may send the request, once.
    Opened(ClaimTicket),
    /// An earlier copy ran, with this outcome.
    Recorded(RecordedOutcome),
    /// An earlier copy was still running at the deadline. To be refused as `may_have_run`, same key.
    Running(ClaimHolder),
    /// An earlier copy may have run, and its outcome is not known. To be refused as `may_have_run`.
    OutcomeUnknown,
    /// The key was used before with a different request.
    Mismatch,
    /// A copy was closed as not run while this one was under way, so this one must not run either. To be
    /// refused as `not_run`, same key at once: a repeat from now on is a later copy and may run.
    NotRun,
    /// The claim could not be written.
    Unavailable(UnavailableClaim),
}

/// Why a claim could not be written, and what that means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableClaim {
    /// The store is out of service. No claim was written for this copy, and it will not be sent. Nothing is
    /// known of copies at other routers.
    Outage,
    /// The store did not take the write before the deadline, because of its rate limit, stale reads or other
    /// writers; otherwise as for `Outage`.
    Timeout,
    /// The page has no room for another claim; otherwise as for `Outage`.
    PageFull,
    /// A claim may have been written, or may still be. This copy will not be sent, and the claim is closed as
    /// soon as the store answers. To be refused as `may_have_run`, same key.
    Unresolved,
}
