use std::{fmt, str::FromStr};

use bramleywind_macros::domain_type;
use snafu::Snafu;

use crate::{EndpointState, RouteRequest};

/// A load-balancing policy, which chooses the endpoint that runs a request.
pub trait EndpointPolicy {
    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    fn choose(&mut self, request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize>;

    /// Records that the request is being sent to the endpoint. The default does nothing.
    fn record_sent(&mut self, _request: &RouteRequest, _endpoint: &EndpointState) {}
}

/// The endpoint policies that can be selected in the settings.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Rotates through the endpoints.
    RoundRobin,
    /// Chooses the endpoint whose latest load report shows the lowest load per slot.
    LeastReportedLoad,
    /// Draws two endpoints at random and chooses the one with fewer of this router's requests per slot.
    TwoChoices,
    /// Chooses the endpoint with the shortest predicted time to the first token.
    PrefixAffinity,
}

/// The error for a name that is not an endpoint policy.
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
