use bramleywind_macros::domain_type;
use bramleywind_types::{ServiceId, TokenCount};
use schemars::JsonSchema;

/// A plain service, reached at `/services/<id>/`.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The service's name.
    pub id: ServiceId,
    /// What each call costs, in tokens.
    pub tokens_per_call: TokenCount,
    /// The calls that the service accepts; the first that matches counts, and others are refused.
    pub routes: Vec<RouteConfig>,
}

/// A kind of call to a service.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// The HTTP method, in capitals.
    pub method: Box<str>,
    /// The beginning of the path below the service, with its leading slash.
    pub path_prefix: Box<str>,
    /// Whether a call may be run again after a failure. A non-idempotent call needs an idempotency key.
    pub idempotent: bool,
}
