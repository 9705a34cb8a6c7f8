use std::net::SocketAddr;

use bramleywind_config::{EndpointConfig, EndpointRole, ModelAdapter, ModelVersion};

use crate::name_parser::NameParser;

/// A back end.
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

#[derive(Debug, Clone)]
enum RoleSpec {
    Engine(EngineSpec),
    Service(Box<str>),
}

#[derive(Debug, Clone, Default)]
struct EngineSpec {
    models: Vec<Box<str>>,
    /// Models with their versions.
    versions: Vec<(Box<str>, Box<str>)>,
    /// Models with their adapters.
    adapters: Vec<(Box<str>, Box<str>)>,
    role: Option<Box<str>>,
}

impl EndpointSpec {
    /// A model engine on the instance of the same name, with one slot.
    pub fn engine<'a>(id: &str, models: impl IntoIterator<Item = &'a str>) -> Self {
        let models = models.into_iter().map(Into::into).collect();
        Self::new(id, RoleSpec::Engine(EngineSpec { models, ..EngineSpec::default() }))
    }

    /// A plain service on the instance of the same name, with one slot.
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

    /// Names the instance, if it is not named as the endpoint is.
    #[must_use]
    pub fn on_instance(mut self, instance: &str) -> Self {
        self.instance = instance.into();
        self
    }

    /// Names the data centre. Required.
    #[must_use]
    pub fn placed_in(mut self, data_centre: &str) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Gives the IP address and port. Required.
    #[must_use]
    pub fn at(mut self, address: &str) -> Self {
        self.address = address.into();
        self
    }

    /// Says how many requests the endpoint runs at once.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Says that the endpoint refuses orders with an old fencing token.
    #[must_use]
    pub fn checks_fencing(mut self) -> Self {
        self.checks_fencing = true;
        self
    }

    /// Asks that the engine has this version of one of its models. No effect on a plain service.
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

    /// Asks that the engine has this adapter of one of its models. No effect on a plain service.
    #[must_use]
    pub fn adapter(mut self, model: &str, adapter: &str) -> Self {
        if let RoleSpec::Engine(engine) = &mut self.role {
            engine.adapters.push((model.into(), adapter.into()));
        }
        self
    }

    /// Asks that the engine takes on this role. No effect on a plain service.
    #[must_use]
    pub fn engine_role(mut self, role: &str) -> Self {
        if let RoleSpec::Engine(engine) = &mut self.role {
            engine.role = Some(role.into());
        }
        self
    }

    pub(crate) fn assemble(&self, names: &mut NameParser) -> Option<EndpointConfig> {
        names.enter("endpoint", &self.id);
        let role = match &self.role {
            RoleSpec::Engine(engine) => {
                let versions = engine.versions.iter().filter_map(|(model, version)| {
                    Some(ModelVersion {
                        model: names.parse(model)?,
                        version: names.parse(version)?,
                    })
                });
                let versions = versions.collect();
                let adapters = engine.adapters.iter().filter_map(|(model, adapter)| {
                    Some(ModelAdapter {
                        model: names.parse(model)?,
                        adapter: names.parse(adapter)?,
                    })
                });
                let adapters = adapters.collect();
                let models = names.parse_all(&engine.models);
                let role = engine.role.as_ref().and_then(|role| names.parse(role));
                Some(EndpointRole::Engine { models, versions, adapters, role })
            }
            RoleSpec::Service(service) => {
                names.parse(service).map(|service| EndpointRole::Service { service })
            }
        };
        let instance = names.parse(&self.instance);
        let data_centre = names.parse(&self.data_centre);
        let address = self.address.parse::<SocketAddr>();
        if address.is_err() {
            names.add(format!(
                "`{}` is not an IP address and port; give one with `at`, for example `192.0.2.7:8080`",
                self.address
            ));
        }
        Some(EndpointConfig {
            id: names.parse(&self.id)?,
            instance: instance?,
            data_centre: data_centre?,
            address: address.ok()?,
            slots: self.slots,
            role: role?,
            checks_fencing: self.checks_fencing,
        })
    }
}
