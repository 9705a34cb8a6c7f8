use std::fmt;

use bramleywind_macros::domain_type;

/// The reason class of a refusal, stable across versions.
#[domain_type]
#[derive(Copy, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is not valid HTTP, JSON or not of the expected shape.
    InvalidRequest,
    /// The header section is larger than allowed.
    HeadersTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The request was not received in time.
    RequestTimeout,
    /// There is no bearer key, or no workspace has it.
    Unauthorized,
    /// The workspace may not reach the model or service.
    Forbidden,
    /// The path names nothing.
    NotFound,
    /// No configured model has that name.
    UnknownModel,
    /// No configured service has that name.
    UnknownService,
    /// A non-idempotent route was called without an idempotency key.
    KeyRequired,
    /// The key was used before with a different request.
    KeyReused,
    /// An earlier copy under the same key may have run, and its outcome is not known.
    OutcomeUnknown,
    /// An earlier copy under the same key is still running.
    InProgress,
    /// The workspace's budget cannot pay for the request.
    BudgetExhausted,
    /// The budget could not be consulted.
    BudgetUnavailable,
    /// A durable claim could not be written.
    ClaimUnavailable,
    /// The queue is full, or the deadline would pass in it.
    Overloaded,
    /// No live endpoint serves the model or service.
    NoEndpoint,
    /// The endpoint failed.
    EndpointFailed,
    /// The endpoint answered too late.
    EndpointTimeout,
    /// The request was in flight on several endpoints that crashed.
    CrashSuspect,
    /// The router is leaving.
    Leaving,
    /// No configuration is in force yet.
    NotReady,
}

/// Whether the refused request ran.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run, and no earlier copy of it will.
    NotRun,
    /// It may have run, in part or whole.
    MayHaveRun,
}

/// What the caller should do next.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum RepeatAdvice {
    /// Repeat with the same idempotency key, after the stated delay.
    SameKey,
    /// Repeat after the stated delay, with or without a key.
    AfterDelay,
    /// Do not repeat: the answer will not change.
    Never,
}

/// A refusal as its caller gets it.
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
    /// The reason class.
    pub code: RefusalCode,
    /// The reason in words, for people.
    pub message: Box<str>,
    /// Whether the request ran.
    pub ran: RunState,
    /// Whether to repeat it.
    pub repeat: RepeatAdvice,
    /// After how many milliseconds to repeat it.
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
    /// A refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<Box<str>>, repeat: RepeatAdvice) -> Self {
        Self { code, message: message.into(), ran: RunState::NotRun, repeat, retry_after_ms: None }
    }

    /// A refusal of a request that may have run.
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

    /// The same refusal with a delay after which to repeat, in milliseconds.
    #[must_use]
    pub fn after_ms(self, delay_ms: u64) -> Self {
        Self { retry_after_ms: Some(delay_ms), ..self }
    }

    /// The HTTP status that goes with the refusal's code.
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
