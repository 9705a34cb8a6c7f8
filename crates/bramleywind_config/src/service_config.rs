use bramleywind_macros::domain_type;
use bramleywind_types::{ServiceId, TokenCount};
use schemars::JsonSchema;

/// A service other than a model engine, available at `/services/<id>/`.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The service's unique name.
    pub id: ServiceId,
    /// The price of a call, in tokens.
    pub tokens_per_call: TokenCount,
    /// The routes that the service accepts. The first matching route applies, and a call without one is rejected.
    pub routes: Vec<RouteConfig>,
}

/// A route of a service, which matches calls by method and path prefix.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// The HTTP method, in upper case.
    pub method: Box<str>,
    /// The prefix of the path below the service, with a leading slash.
    pub path_prefix: Box<str>,
    /// Whether a call can be retried safely after a failure. A non-idempotent call requires an idempotency key.
    pub idempotent: bool,
}
