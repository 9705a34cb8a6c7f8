use std::net::SocketAddr;

use bramleywind_config::{EndpointConfig, EndpointRole, ModelAdapter, ModelVersion};

use crate::name_parser::NameParser;

/// An endpoint: a model engine, or a service that is not a model.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    id: Box<str>,
    instance: Box<str>,
    data_centre: Box<str>,
    address: Box<str>,
    slots: u32,
    role: RoleSpec,
    checks_fencing: bool,
}

/// The work that an endpoint does.
#[derive(Debug, Clone)]
enum RoleSpec {
    Engine(EngineSpec),
    Service(Box<str>),
}

/// The models of an engine and the state that is requested of it.
#[derive(Debug, Clone, Default)]
struct EngineSpec {
    models: Vec<Box<str>>,
    /// Pairs of a model and its version.
    versions: Vec<(Box<str>, Box<str>)>,
    /// Pairs of a model and its adapter.
    adapters: Vec<(Box<str>, Box<str>)>,
    role: Option<Box<str>>,
}

impl EndpointSpec {
    /// Creates a model engine with one slot, on the instance of the same name.
    pub fn engine<'a>(id: &str, models: impl IntoIterator<Item = &'a str>) -> Self {
        let models = models.into_iter().map(Into::into).collect();
        Self::new(id, RoleSpec::Engine(EngineSpec { models, ..EngineSpec::default() }))
    }

    /// Creates a service endpoint with one slot, on the instance of the same name.
    pub fn service(id: &str, service: &str) -> Self {
        Self::new(id, RoleSpec::Service(service.into()))
    }

    fn new(id: &str, role: RoleSpec) -> Self {
        Self {
            id: id.into(),
            instance: id.into(),
            data_centre: "".into(),
            address: "".into(),
            slots: 1,
            role,
            checks_fencing: false,
        }
    }

    /// Sets the instance, if its name differs from that of the endpoint.
    #[must_use]
    pub fn on_instance(mut self, instance: &str) -> Self {
        self.instance = instance.into();
        self
    }

    /// Sets the data centre. Required.
    #[must_use]
    pub fn placed_in(mut self, data_centre: &str) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Sets the IP address and port. Required.
    #[must_use]
    pub fn at(mut self, address: &str) -> Self {
        self.address = address.into();
        self
    }

    /// Sets the number of requests that the endpoint runs at once.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Declares that the endpoint refuses orders with an outdated fencing token.
    #[must_use]
    pub fn checks_fencing(mut self) -> Self {
        self.checks_fencing = true;
        self
    }

    /// Requests this version of one of the engine's models. Has no effect on a service.
    ///
    /// ```
    /// use bramleywind_operator::EndpointSpec;
    ///
    /// let engine = EndpointSpec::engine("engine-1", ["weave-small"])
    ///     .version("weave-small", "v2")
    ///     .adapter("weave-small", "museum")
    ///     .engine_role("prefill");
    /// ```
    #[must_use]
    pub fn version(mut self, model: &str, version: &str) -> Self {
        if let RoleSpec::Engine(engine) = &mut self.role {
            engine.versions.push((model.into(), version.into()));
        }
        self
    }

    /// Requests this adapter for one of the engine's models. Has no effect on a service.
    #[must_use]
    pub fn adapter(mut self, model: &str, adapter: &str) -> Self {
        if let RoleSpec::Engine(engine) = &mut self.role {
            engine.adapters.push((model.into(), adapter.into()));
        }
        self
    }

    /// Requests that the engine take on this role. Has no effect on a service.
    #[must_use]
    pub fn engine_role(mut self, role: &str) -> Self {
        if let RoleSpec::Engine(engine) = &mut self.role {
            engine.role = Some(role.into());
        }
        self
    }

    /// Converts the specification to its part of the document, or returns `None` if a required text is
    /// malformed.
    pub(crate) fn assemble(&self, parser: &mut NameParser) -> Option<EndpointConfig> {
        parser.set_object("endpoint", &self.id);
        let role = match &self.role {
            RoleSpec::Engine(engine) => {
                let versions = engine.versions.iter().filter_map(|(model, version)| {
                    Some(ModelVersion {
                        model: parser.parse(model)?,
                        version: parser.parse(version)?,
                    })
                });
                let versions = versions.collect();
                let adapters = engine.adapters.iter().filter_map(|(model, adapter)| {
                    Some(ModelAdapter {
                        model: parser.parse(model)?,
                        adapter: parser.parse(adapter)?,
                    })
                });
                let adapters = adapters.collect();
                let models = parser.parse_all(&engine.models);
                let role = engine.role.as_ref().and_then(|role| parser.parse(role));
                Some(EndpointRole::Engine { models, versions, adapters, role })
            }
            RoleSpec::Service(service) => {
                parser.parse(service).map(|service| EndpointRole::Service { service })
            }
        };
        let instance = parser.parse(&self.instance);
        let data_centre = parser.parse(&self.data_centre);
        let address = self.address.parse::<SocketAddr>();
        if address.is_err() {
            parser.add_error(format!(
                "`{}` is not an IP address and port; give one with `at`, for example `192.0.2.7:8080`",
                self.address
            ));
        }
        Some(EndpointConfig {
            id: parser.parse(&self.id)?,
            instance: instance?,
            data_centre: data_centre?,
            address: address.ok()?,
            slots: self.slots,
            role: role?,
            checks_fencing: self.checks_fencing,
        })
    }
}
