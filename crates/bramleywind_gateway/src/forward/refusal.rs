use std::time::Duration;

use bramleywind_http::AnswerBody;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use crate::platform_api::WireCodec;

/// Why a request has no answer of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The request's head lacks something that every request has.
    BadRequest,
    /// No route takes the path.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The caller did not send the whole body.
    BodyBroken,
    /// The prepaid tokens do not cover the request.
    BudgetExhausted,
    /// More tokens must be drawn, and the store does not answer.
    FundsUnavailable,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// All endpoints that were tried are full or can't be reached. The request did not run.
    NotPlaced,
    /// This gateway is stopping.
    Stopping,
    /// An endpoint may have run the request and gave no usable answer.
    MayHaveRun,
    /// No answer came before the deadline.
    TimedOut,
}

impl RefusalReason {
    /// The name in logs and metrics.
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
            Self::NoEndpoint => "no endpoint",
            Self::NotPlaced => "not placed",
            Self::Stopping => "stopping",
            Self::MayHaveRun => "may have run",
            Self::TimedOut => "timed out",
        }
    }

    /// The status of the answer. 503 promises that the request has not run and never will.
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
            | Self::NoEndpoint
            | Self::NotPlaced
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An answer of the gateway's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A refusal that tells when to come back.
    pub fn after(reason: RefusalReason, delay: Duration) -> Self {
        Self { reason, retry_after: Some(delay) }
    }

    /// The answer to the caller.
    pub fn into_response<W: WireCodec>(self) -> Response<AnswerBody> {
        let text = format!("{}\n", self.reason.name());
        let mut response = Response::new(AnswerBody::from(Bytes::from(text)));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(delay) = self.retry_after {
            headers.insert(header::RETRY_AFTER, W::retry_after(delay));
        }
        response
    }
}
