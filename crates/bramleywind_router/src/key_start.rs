use bramleywind_claims::{ClaimTicket, RecordedOutcome};
use bramleywind_types::Refusal;

/// What the lookup of a request's key came to.
#[derive(Debug)]
pub enum KeyDecision {
    /// The request runs.
    Run(KeyTicket),
    /// An earlier copy ran, with this outcome.
    Replay(RecordedOutcome),
    /// The request must not run.
    Refuse(Refusal),
}

/// What must be told how a request ended.
#[derive(Debug)]
pub enum KeyTicket {
    /// Nothing: the request has no key.
    Unkeyed,
    /// The homes of the key.
    Homes {
        /// Whether all of them answered, so that no earlier copy is unknown to this router.
        have_all_answered: bool,
        /// Whether the request takes the place of an attempt whose router is dead.
        replaces_dead: bool,
    },
    /// The durable claim.
    Durable(ClaimTicket),
}

/// How a keyed request ended.
#[derive(Debug)]
pub enum KeyOutcome {
    /// It ran. The outcome is missing if it is too large to record.
    Ran(Option<RecordedOutcome>),
    /// It was not sent, and will not be.
    NotRun,
    /// It may have run, and its outcome is not known.
    Unknown,
}
