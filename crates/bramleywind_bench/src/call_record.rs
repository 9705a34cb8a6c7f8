use std::time::Duration;

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer arrived.
    Whole,
    /// The call was refused.
    Refused {
        /// The error code of the refusal.
        code: Box<str>,
        /// The time after which the caller may retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// An error event followed a part of the answer.
    Broken,
    /// The connection failed, or the answer stopped without its final event.
    Unfinished,
}

/// The result of one call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The scheduled time of the call, from the beginning of the run.
    pub offset: Duration,
    /// The delay between the scheduled time and the sending, in milliseconds. High values mean that the client is
    /// the bottleneck.
    pub client_lag_ms: f64,
    /// The workspace that made the call.
    pub workspace: Box<str>,
    /// The time from sending to the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// The time from sending to the end of the answer, in milliseconds.
    pub total_ms: f64,
    /// The number of requested tokens.
    pub asked_tokens: u32,
    /// The number of received tokens.
    pub tokens: u32,
    /// The number of tokens that arrived later after the previous token than callers are promised.
    pub late_tokens: u32,
    /// The outcome of the call.
    pub outcome: CallOutcome,
}

impl CallRecord {
    /// Returns whether the complete answer arrived.
    pub fn is_whole(&self) -> bool {
        self.outcome == CallOutcome::Whole
    }

    /// Returns whether the call was refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.outcome, CallOutcome::Refused { .. })
    }
}
