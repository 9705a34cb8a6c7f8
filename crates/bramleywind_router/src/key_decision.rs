use bramleywind_claims::{ClaimTicket, RecordedOutcome};
use bramleywind_types::Refusal;

/// The result of looking up a request's key.
#[derive(Debug)]
pub enum KeyDecision {
    /// The request may run.
    Run(KeyTicket),
    /// An earlier copy of the request ran, with this outcome.
    Replay(RecordedOutcome),
    /// The request must not run.
    Refuse(Refusal),
}

/// Identifies where the outcome of a request is recorded.
#[derive(Debug)]
pub enum KeyTicket {
    /// Nowhere: the request has no key.
    Unkeyed,
    /// At the homes of the key.
    Homes {
        /// Whether all homes answered, so that no earlier copy is unknown to this router.
        have_all_answered: bool,
        /// Whether the request replaces an attempt whose router is dead.
        replaces_dead: bool,
    },
    /// In the durable claim.
    Durable(ClaimTicket),
}

/// The outcome of a request with a key.
#[derive(Debug)]
pub enum KeyOutcome {
    /// The request ran. The recorded outcome is missing if it is too large to record.
    Ran(Option<RecordedOutcome>),
    /// The request was not sent, and will not be.
    NotRun,
    /// The request may have run, and its outcome is unknown.
    Unknown,
}
