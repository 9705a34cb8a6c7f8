use std::time::Duration;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// With the whole answer.
    Whole,
    /// With a refusal instead of an answer.
    Refused {
        /// The refusal's code.
        code: Box<str>,
        /// When the caller may come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// With an error event after part of the answer.
    Broken,
    /// Without an end.
    Unfinished,
}

/// What one call came to.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// When it was to be sent, from the beginning of the run.
    pub offset: Duration,
    /// How late the client sent it, in milliseconds: a sign that the client is the bottleneck.
    pub client_lag_ms: f64,
    /// The workspace.
    pub workspace: Box<str>,
    /// Milliseconds from sending to the first token.
    pub first_token_ms: Option<f64>,
    /// Milliseconds from sending to the end.
    pub total_ms: f64,
    /// The tokens that the call asked for.
    pub asked_tokens: u32,
    /// The tokens that arrived.
    pub tokens: u32,
    /// Tokens that arrived later than the limit after the previous one.
    pub late_tokens: u32,
    /// How it ended.
    pub outcome: CallOutcome,
}

impl CallRecord {
    /// Whether the whole answer arrived.
    pub fn is_whole(&self) -> bool {
        self.outcome == CallOutcome::Whole
    }

    /// Whether it was refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.outcome, CallOutcome::Refused { .. })
    }
}
