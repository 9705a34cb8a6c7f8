use super::RefusalReason;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint's response was relayed completely.
    Answered,
    /// The gateway refused the request.
    Refused(RefusalReason),
    /// The response was started but could not be completed.
    BrokenOff,
    /// The caller closed the connection.
    CallerGone,
}

impl RequestOutcome {
    /// The outcome's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused(_) => "refused",
            Self::BrokenOff => "broken off",
            Self::CallerGone => "caller gone",
        }
    }
}
