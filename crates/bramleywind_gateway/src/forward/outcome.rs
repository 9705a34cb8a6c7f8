use super::RefusalReason;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint's answer was passed on to its end.
    Answered,
    /// The gateway refused.
    Refused(RefusalReason),
    /// An answer had begun and could not be finished.
    BrokenOff,
    /// The caller went away.
    CallerGone,
}

impl RequestOutcome {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused(_) => "refused",
            Self::BrokenOff => "broken off",
            Self::CallerGone => "caller gone",
        }
    }
}
