use std::net::SocketAddr;

use bramleywind_config::{EndpointConfig, EndpointRole};

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
    Engine(Vec<Box<str>>),
    Service(Box<str>),
}

impl EndpointSpec {
    /// A model engine on the instance of the same name, with one slot.
    pub fn engine<'a>(id: &str, models: impl IntoIterator<Item = &'a str>) -> Self {
        Self::new(id, RoleSpec::Engine(models.into_iter().map(Into::into).collect()))
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

    pub(crate) fn assemble(&self, names: &mut NameParser) -> Option<EndpointConfig> {
        names.enter("endpoint", &self.id);
        let role = match &self.role {
            RoleSpec::Engine(models) => {
                Some(EndpointRole::Engine { models: names.parse_all(models) })
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
