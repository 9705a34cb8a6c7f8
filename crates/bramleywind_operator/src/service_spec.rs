use bramleywind_config::{RouteConfig, ServiceConfig};
use bramleywind_types::TokenCount;

use crate::name_parser::NameParser;

/// A service that is not a model, with the routes that it accepts. The first route that matches a call applies.
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
    /// Creates a service without routes, each of whose calls costs `tokens_per_call` tokens.
    pub fn new(id: &str, tokens_per_call: u64) -> Self {
        Self { id: id.into(), tokens_per_call, routes: Vec::new() }
    }

    /// Adds a route whose calls may be repeated after a failure.
    #[must_use]
    pub fn idempotent_route(self, method: &str, path_prefix: &str) -> Self {
        self.route(method, path_prefix, true)
    }

    /// Adds a route whose calls run at most once. Callers must send an idempotency key.
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

    /// Converts the specification to its part of the document, or returns `None` if its id is malformed.
    pub(crate) fn assemble(&self, parser: &mut NameParser) -> Option<ServiceConfig> {
        parser.set_object("service", &self.id);
        Some(ServiceConfig {
            id: parser.parse(&self.id)?,
            tokens_per_call: TokenCount(self.tokens_per_call),
            routes: self.routes.clone(),
        })
    }
}
