use bramleywind_types::{DataCentreId, EndpointId, InstanceId};

/// The processes of a local fleet and their settings.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The routers.
    pub routers: Vec<RouterPlan>,
    /// The model engines.
    pub engines: Vec<EnginePlan>,
    /// The plain services.
    pub services: Vec<ServicePlan>,
    /// The policy by which routers choose endpoints, under its name in the settings.
    pub endpoint_policy: Box<str>,
    /// Additional settings of every router. They override the default ones.
    pub router_settings: serde_json::Value,
    /// Additional command-line arguments of every router.
    pub router_arguments: Vec<String>,
    /// Additional command-line arguments of the key-value store's stand-in.
    pub store_arguments: Vec<String>,
}

/// A router of a [`FleetPlan`].
#[derive(Debug, Clone)]
pub struct RouterPlan {
    /// The instance that the router is.
    pub instance: InstanceId,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The capacity in its settings, which is its weight in the entry list.
    pub capacity: u32,
}

/// A model engine of a [`FleetPlan`].
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// The name of the endpoint and of its instance.
    pub endpoint: EndpointId,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Additional command-line arguments of the stand-in.
    pub arguments: Vec<String>,
}

/// A plain service of a [`FleetPlan`].
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The name of the endpoint and of its instance.
    pub endpoint: EndpointId,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
}

impl FleetPlan {
    /// Returns a plan of six routers with different capacities, two in each of the given data centres.
    ///
    /// # Panics
    ///
    /// Panics if a name is not a valid data centre name.
    pub fn six_routers(data_centres: [&str; 3]) -> Self {
        let capacities = [4, 2, 3, 2, 2, 1];
        let routers = (0..capacities.len()).map(|index| {
            let data_centre = data_centres[index / 2];
            let instance = format!("{data_centre}-r{}", index % 2 + 1);
            RouterPlan {
                instance: instance
                    .parse()
                    .expect("a data centre's name is a valid prefix of an instance name"),
                data_centre: data_centre.parse().expect("the data centre has a valid name"),
                capacity: capacities[index],
            }
        });
        Self {
            routers: routers.collect(),
            engines: Vec::new(),
            services: Vec::new(),
            endpoint_policy: "prefix_affinity".into(),
            router_settings: serde_json::json!({}),
            router_arguments: Vec::new(),
            store_arguments: Vec::new(),
        }
    }

    /// Adds an engine, with additional arguments for its stand-in.
    ///
    /// # Panics
    ///
    /// Panics if a name is not valid.
    #[must_use]
    pub fn engine(mut self, endpoint: &str, data_centre: &str, arguments: &[&str]) -> Self {
        self.engines.push(EnginePlan {
            endpoint: endpoint.parse().expect("the endpoint has a valid name"),
            data_centre: data_centre.parse().expect("the data centre has a valid name"),
            arguments: arguments.iter().map(|argument| (*argument).to_owned()).collect(),
        });
        self
    }

    /// Adds a plain service.
    ///
    /// # Panics
    ///
    /// Panics if a name is not valid.
    #[must_use]
    pub fn service(mut self, endpoint: &str, data_centre: &str) -> Self {
        self.services.push(ServicePlan {
            endpoint: endpoint.parse().expect("the endpoint has a valid name"),
            data_centre: data_centre.parse().expect("the data centre has a valid name"),
        });
        self
    }
}
