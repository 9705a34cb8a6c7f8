use std::fmt;

/// What is known of a request whose call to an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// Nothing of it was sent.
    NotSent,
    /// The endpoint stated that it did not run.
    Declined,
    /// Another instance answers at the endpoint's address, and stated that it did not run.
    Replaced,
    /// It may have run: the connection broke, or the answer can't be used.
    MayHaveRun,
    /// It may have run: no answer came in time.
    TimedOut,
}

impl FailureKind {
    /// Whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Declined | Self::Replaced)
    }
}

/// A call to an endpoint that brought no usable answer.
#[derive(Debug, Clone)]
pub struct CallFailure {
    /// What is known of the request.
    pub kind: FailureKind,
    /// What happened, for the log.
    pub reason: Box<str>,
}

impl CallFailure {
    /// A failure with a reason.
    pub fn new(kind: FailureKind, reason: impl fmt::Display) -> Self {
        Self { kind, reason: reason.to_string().into() }
    }
}
