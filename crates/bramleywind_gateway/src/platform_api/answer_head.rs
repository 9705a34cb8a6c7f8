use std::time::Duration;

use bramleywind_routing::LoadReport;

use crate::rate_limits::RateStatement;

/// The contents of the head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that the endpoint claims to answer.
    pub request_id: Option<Box<str>>,
    /// Whether the endpoint confirms that the answer is its own.
    pub is_sealed: bool,
    /// Whether the endpoint states that the request did not run.
    pub is_declined: bool,
    /// Whether the endpoint states that it is shutting down.
    pub is_leaving: bool,
    /// How long the endpoint wants no further request from this process, if it declined one.
    pub pause: Option<Duration>,
    /// The rate of requests that the endpoint takes from all gateways together.
    pub rate: RateStatement,
    /// The endpoint's load when it wrote the answer.
    pub load: Option<LoadReport>,
    /// How long the endpoint keeps the connection open without a request.
    pub idle_time: Option<Duration>,
    /// Whether the endpoint closes the connection after this answer.
    pub is_closing: bool,
}
