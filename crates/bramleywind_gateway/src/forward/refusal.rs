use std::time::{Duration, Instant};

use bramleywind_http::ResponseBody;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use crate::platform_api::WireCodec;

/// The reason for which the gateway refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has been loaded yet.
    NoConfiguration,
    /// The request head lacks a required field.
    BadRequest,
    /// No route matches the host and path.
    NoRoute,
    /// The workspace key is unknown or missing.
    UnknownKey,
    /// The request head exceeds the configured limit.
    HeadTooLarge,
    /// The request body exceeds the configured limit.
    BodyTooLarge,
    /// The connection was lost before the caller had sent the whole body.
    BodyBroken,
    /// The workspace's remaining prepaid tokens do not cover the request.
    BudgetExhausted,
    /// The process has too few granted tokens, and the store does not answer a request for more.
    FundsUnavailable,
    /// The instance's link or memory cannot carry another request.
    Overloaded,
    /// The same request crashed several endpoints lately.
    CrashesEndpoints,
    /// Requests with the same part in their prompts crashed several endpoints lately.
    PartCrashesEndpoints,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// All endpoints that were tried declined the request or could not be reached. The request did not run.
    NotPlaced,
    /// All endpoints of the service limit their requests, and take no more for now.
    EndpointsLimited,
    /// The list of endpoints is too old: those that it contains may have left.
    ListOutdated,
    /// This gateway is shutting down.
    Stopping,
    /// An endpoint may have run the request but returned no usable response.
    MayHaveRun,
    /// No response arrived before the deadline.
    TimedOut,
}

impl RefusalReason {
    /// The reason's name in logs, metrics and the response body.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration",
            Self::BadRequest => "bad request",
            Self::NoRoute => "no route",
            Self::UnknownKey => "unknown key",
            Self::HeadTooLarge => "head too large",
            Self::BodyTooLarge => "body too large",
            Self::BodyBroken => "body broken",
            Self::BudgetExhausted => "budget exhausted",
            Self::FundsUnavailable => "funds unavailable",
            Self::Overloaded => "instance overloaded",
            Self::CrashesEndpoints => "request crashes endpoints",
            Self::PartCrashesEndpoints => "part of the prompt crashes endpoints",
            Self::NoEndpoint => "no endpoint",
            Self::NotPlaced => "not placed",
            Self::EndpointsLimited => "endpoints limit their requests",
            Self::ListOutdated => "list of endpoints outdated",
            Self::Stopping => "stopping",
            Self::MayHaveRun => "may have run",
            Self::TimedOut => "timed out",
        }
    }

    /// The status code of the response. 503 guarantees that the request has not run and will not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::NoConfiguration
            | Self::FundsUnavailable
            | Self::Overloaded
            | Self::CrashesEndpoints
            | Self::PartCrashesEndpoints
            | Self::NoEndpoint
            | Self::NotPlaced
            | Self::EndpointsLimited
            | Self::ListOutdated
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A response by which the gateway itself refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// The delay after which the caller may retry, if it is given one.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Creates a refusal that tells the caller to retry after `delay`.
    pub fn after(reason: RefusalReason, delay: Duration) -> Self {
        Self { reason, retry_after: Some(delay) }
    }

    /// Creates the refusal of a request that is not sent before `until`, because it crashes endpoints.
    pub fn crashing(reason: RefusalReason, until: Instant) -> Self {
        Self::after(reason, until.saturating_duration_since(Instant::now()))
    }

    /// Builds the response to the caller.
    pub fn into_response<W: WireCodec>(self) -> Response<ResponseBody> {
        let text = format!("{}\n", self.reason.name());
        let mut response = Response::new(ResponseBody::from(Bytes::from(text)));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(delay) = self.retry_after {
            headers.insert(header::RETRY_AFTER, W::retry_after(delay));
        }
        response
    }
}
