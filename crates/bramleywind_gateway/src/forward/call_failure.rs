use std::fmt;

use crate::crashes::ProbeOutcome;

/// The kind of a failed call to an endpoint, by whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The request was not sent.
    NotSent,
    /// The request was not sent, since the endpoint left, or may have left, after it was chosen.
    Left,
    /// The endpoint declined the request and stated that it did not run.
    Declined,
    /// Another instance answered at the endpoint's address and stated that the request did not run.
    Replaced,
    /// The request may have run: the connection was lost before the response ended.
    ConnectionLost,
    /// The request may have run: the response is unusable.
    MayHaveRun,
    /// The request may have run: no response arrived in time.
    TimedOut,
}

impl FailureKind {
    /// Returns whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Left | Self::Declined | Self::Replaced)
    }
}

/// A call to an endpoint that did not yield a usable response.
#[derive(Debug, Clone)]
pub struct CallFailure {
    /// Whether the request ran, and why the call failed.
    pub kind: FailureKind,
    /// Description of the failure for the log.
    pub reason: Box<str>,
    /// What a new connection told about the endpoint, if one was tried.
    pub probe: Option<ProbeOutcome>,
}

impl CallFailure {
    /// Creates a failure with the given reason.
    pub fn new(kind: FailureKind, reason: impl fmt::Display) -> Self {
        Self { kind, reason: reason.to_string().into(), probe: None }
    }
}
