use crate::{ClaimHolder, ClaimTicket, RecordedOutcome};

/// The result of an attempt to open a claim.
#[derive(Debug)]
pub enum OpeningOutcome {
    /// This process holds the claim and may send the request, once.
    Opened(ClaimTicket),
    /// An earlier copy of the request ran, with this outcome.
    Recorded(RecordedOutcome),
    /// An earlier copy was still running at the deadline. The request must be refused as `may_have_run`, to be repeated
    /// with the same key.
    Running(ClaimHolder),
    /// An earlier copy may have run, and its outcome is unknown. The request must be refused as `may_have_run`.
    OutcomeUnknown,
    /// The key was used before for a different request.
    Mismatch,
    /// A copy was closed as not run while this one was being handled, so this one must not run either. The request must
    /// be refused as `not_run`, to be repeated with the same key at once: a repeat that arrives from now on is a later
    /// copy and may run.
    NotRun,
    /// The claim could not be written.
    Unavailable(UnavailableClaim),
}

/// The reason why a claim could not be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableClaim {
    /// The store is unavailable. No claim was written for this copy, and it will not be sent. Nothing is known about
    /// copies at other routers.
    Outage,
    /// The store did not accept the write before the deadline, because of its rate limit, stale reads or other writers.
    /// The consequences are the same as for `Outage`.
    Timeout,
    /// The page has no space for another claim. The consequences are the same as for `Outage`.
    PageFull,
    /// A claim may have been written, or may still be written. This copy will not be sent, and the claim is closed as
    /// soon as the store answers. The request must be refused as `may_have_run`, to be repeated with the same key.
    Unresolved,
}
