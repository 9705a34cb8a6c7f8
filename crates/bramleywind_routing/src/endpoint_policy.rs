use std::{fmt, str::FromStr};

use bramleywind_macros::domain_type;
use snafu::Snafu;

use crate::{EndpointState, RouteRequest};

/// Chooses the endpoint that runs a request.
pub trait EndpointPolicy {
    /// The index of the chosen candidate; nothing if there is no candidate.
    fn choose(&mut self, request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize>;

    /// Called when the request was sent to the endpoint.
    fn record_sent(&mut self, _request: &RouteRequest, _endpoint: &EndpointState) {}
}

/// The name of a policy in settings.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint that reports the least load for its slots.
    LeastReportedLoad,
    /// The less occupied of two random endpoints, by this router's own work.
    TwoChoices,
    /// The endpoint with the shortest predicted wait for the first token.
    PrefixAffinity,
}

/// A text that names no policy.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "endpoint policy `{name}` is unknown; use `round_robin`, `least_reported_load`, `two_choices` or \
     `prefix_affinity`"
))]
pub struct PolicyNameError {
    name: Box<str>,
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RoundRobin => "round_robin",
            Self::LeastReportedLoad => "least_reported_load",
            Self::TwoChoices => "two_choices",
            Self::PrefixAffinity => "prefix_affinity",
        })
    }
}

impl FromStr for PolicyKind {
    type Err = PolicyNameError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let kinds =
            [Self::RoundRobin, Self::LeastReportedLoad, Self::TwoChoices, Self::PrefixAffinity];
        let found = kinds.into_iter().find(|kind| kind.to_string() == name);
        found.ok_or_else(|| PolicyNameError { name: name.into() })
    }
}
