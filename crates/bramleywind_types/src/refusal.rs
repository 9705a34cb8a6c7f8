use std::fmt;

use bramleywind_macros::domain_type;

/// The machine-readable reason for a refusal. Codes are stable across versions.
#[domain_type]
#[derive(Copy, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is not valid HTTP or JSON, or does not have the expected structure.
    InvalidRequest,
    /// The header section is larger than allowed.
    HeadersTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The request was not received in time.
    RequestTimeout,
    /// The request has no bearer key, or no workspace has that key.
    Unauthorized,
    /// The workspace may not use the model or service.
    Forbidden,
    /// The path does not exist.
    NotFound,
    /// No configured model has that name.
    UnknownModel,
    /// No configured service has that name.
    UnknownService,
    /// A non-idempotent route was called without an idempotency key.
    KeyRequired,
    /// The key was used before with a different request.
    KeyReused,
    /// An earlier request with the same key may have run, and its outcome is unknown.
    OutcomeUnknown,
    /// An earlier request with the same key is still running.
    InProgress,
    /// The workspace's budget cannot pay for the request.
    BudgetExhausted,
    /// The state of the budget could not be determined.
    BudgetUnavailable,
    /// The durable claim of the request could not be written.
    ClaimUnavailable,
    /// The queue is full, or the request's deadline would pass while it waits.
    Overloaded,
    /// No live endpoint serves the model or service.
    NoEndpoint,
    /// The endpoint failed.
    EndpointFailed,
    /// The endpoint did not respond in time.
    EndpointTimeout,
    /// The request was in flight on several endpoints that crashed.
    CrashSuspect,
    /// The router is shutting down and accepts no new work.
    Leaving,
    /// No configuration is in force yet.
    NotReady,
}

/// States whether the refused request ran.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run, and no earlier request with the same key will.
    NotRun,
    /// It may have run, partly or completely.
    MayHaveRun,
}

/// Tells the caller whether and how to repeat the request.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum RepeatAdvice {
    /// Repeat with the same idempotency key, after the stated delay.
    SameKey,
    /// Repeat after the stated delay, with or without a key.
    AfterDelay,
    /// Do not repeat: the outcome will not change.
    Never,
}

/// A refusal as it is sent to the caller.
///
/// ```
/// use bramleywind_types::{Refusal, RefusalCode, RepeatAdvice, RunState};
///
/// let refusal = Refusal::not_run(RefusalCode::Leaving, "the router is leaving", RepeatAdvice::AfterDelay)
///     .after_ms(50);
/// assert_eq!(refusal.ran, RunState::NotRun);
/// assert_eq!(refusal.status(), 503);
/// ```
#[domain_type]
pub struct Refusal {
    /// The machine-readable reason.
    pub code: RefusalCode,
    /// The human-readable reason.
    pub message: Box<str>,
    /// Whether the request ran.
    pub ran: RunState,
    /// Whether and how to repeat the request.
    pub repeat: RepeatAdvice,
    /// The delay before a repetition, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// The JSON body that carries a [`Refusal`].
#[domain_type]
pub struct RefusalBody {
    /// The refusal.
    pub error: Refusal,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<Box<str>>, repeat: RepeatAdvice) -> Self {
        Self { code, message: message.into(), ran: RunState::NotRun, repeat, retry_after_ms: None }
    }

    /// Returns a refusal of a request that may have run.
    pub fn may_have_run(
        code: RefusalCode,
        message: impl Into<Box<str>>,
        repeat: RepeatAdvice,
    ) -> Self {
        Self {
            code,
            message: message.into(),
            ran: RunState::MayHaveRun,
            repeat,
            retry_after_ms: None,
        }
    }

    /// Sets the delay before a repetition, in milliseconds.
    #[must_use]
    pub fn after_ms(self, delay_ms: u64) -> Self {
        Self { retry_after_ms: Some(delay_ms), ..self }
    }

    /// Returns the HTTP status for the refusal's code.
    pub fn status(&self) -> u16 {
        match self.code {
            RefusalCode::InvalidRequest | RefusalCode::KeyRequired => 400,
            RefusalCode::Unauthorized => 401,
            RefusalCode::BudgetExhausted => 402,
            RefusalCode::Forbidden => 403,
            RefusalCode::NotFound | RefusalCode::UnknownModel | RefusalCode::UnknownService => 404,
            RefusalCode::RequestTimeout => 408,
            RefusalCode::InProgress | RefusalCode::OutcomeUnknown => 409,
            RefusalCode::BodyTooLarge => 413,
            RefusalCode::KeyReused | RefusalCode::CrashSuspect => 422,
            RefusalCode::Overloaded => 429,
            RefusalCode::HeadersTooLarge => 431,
            RefusalCode::EndpointFailed => 502,
            RefusalCode::BudgetUnavailable
            | RefusalCode::ClaimUnavailable
            | RefusalCode::NoEndpoint
            | RefusalCode::Leaving
            | RefusalCode::NotReady => 503,
            RefusalCode::EndpointTimeout => 504,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.code, self.message)
    }
}
