use std::time::Duration;

use bramleywind_macros::domain_type;

use super::{RouteKind, ServiceShare};

/// The configuration of a route: where the requests of one host and path prefix are sent, and how.
#[domain_type]
pub struct RouteConfig {
    /// The route's name, chosen by the operators.
    pub name: Box<str>,
    /// The host in the request, in lower case.
    pub host: Box<str>,
    /// The prefix of the path; it starts and ends with a slash.
    pub path_prefix: Box<str>,
    /// The type of the requests, which determines when they may be retried.
    pub kind: RouteKind,
    /// The services that receive the requests, with their weights.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of endpoints on which one request may run.
    pub attempt_limit: u32,
    /// Maximum time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest pause between two events of a stream.
    pub target_pause: Option<Duration>,
    /// The rank of the requests at an endpoint; 0 is the most urgent.
    pub rank: u32,
    /// Whether callers may send requests without a key.
    pub is_open: bool,
}
