use std::time::Duration;

use bramleywind_macros::domain_type;

use super::{RouteKind, ServiceShare};

/// Where the requests of one host and path prefix go, and how they are treated.
#[domain_type]
pub struct RouteConfig {
    /// The operators' name for it.
    pub name: Box<str>,
    /// The host that callers name, in lower case.
    pub host: Box<str>,
    /// The beginning of the paths; it begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services that take its requests.
    pub shares: Vec<ServiceShare>,
    /// The most endpoints on which one request may run.
    pub attempt_limit: u32,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time; for a stream, its first event.
    pub target_latency: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub target_pause: Option<Duration>,
    /// Its rank, 0 is the most urgent.
    pub rank: u32,
    /// Whether callers need no key.
    pub is_open: bool,
}
