use bramleywind_config::{RouteConfig, ServiceConfig};
use bramleywind_types::TokenCount;

use crate::name_parser::NameParser;

/// A plain service with the calls that it accepts. The first route that matches counts.
///
/// ```
/// use bramleywind_operator::{Fleet, ServiceSpec};
///
/// let lockers = ServiceSpec::new("lockers", 10)
///     .non_idempotent_route("POST", "/unlock")
///     .idempotent_route("GET", "/state");
/// assert!(Fleet::new().service(lockers).build().is_ok());
/// ```
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    id: Box<str>,
    tokens_per_call: u64,
    routes: Vec<RouteConfig>,
}

impl ServiceSpec {
    /// A service without routes, and what each call costs in tokens.
    pub fn new(id: &str, tokens_per_call: u64) -> Self {
        Self { id: id.into(), tokens_per_call, routes: Vec::new() }
    }

    /// Adds calls that may run again after a failure.
    #[must_use]
    pub fn idempotent_route(self, method: &str, path_prefix: &str) -> Self {
        self.route(method, path_prefix, true)
    }

    /// Adds calls that run at most once; their callers must send an idempotency key.
    #[must_use]
    pub fn non_idempotent_route(self, method: &str, path_prefix: &str) -> Self {
        self.route(method, path_prefix, false)
    }

    fn route(mut self, method: &str, path_prefix: &str, idempotent: bool) -> Self {
        self.routes.push(RouteConfig {
            method: method.into(),
            path_prefix: path_prefix.into(),
            idempotent,
        });
        self
    }

    pub(crate) fn assemble(&self, names: &mut NameParser) -> Option<ServiceConfig> {
        names.enter("service", &self.id);
        Some(ServiceConfig {
            id: names.parse(&self.id)?,
            tokens_per_call: TokenCount(self.tokens_per_call),
            routes: self.routes.clone(),
        })
    }
}
