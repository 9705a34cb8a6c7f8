use bramleywind_types::{DataCentreId, EndpointId, InstanceId};

/// Which processes a local fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The routers.
    pub routers: Vec<RouterPlan>,
    /// The model engines.
    pub engines: Vec<EnginePlan>,
    /// The plain services.
    pub services: Vec<ServicePlan>,
    /// How the routers choose endpoints, as the settings name it.
    pub endpoint_policy: Box<str>,
    /// Further settings of every router, merged over the usual ones.
    pub router_settings: serde_json::Value,
    /// Further arguments of every router.
    pub router_arguments: Vec<String>,
    /// Further arguments of the key-value stand-in.
    pub store_arguments: Vec<String>,
}

/// One router.
#[derive(Debug, Clone)]
pub struct RouterPlan {
    /// The instance that it runs on.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Its weight in the entry answers.
    pub capacity: u32,
}

/// One model engine.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// The endpoint's name; its instance has the same.
    pub endpoint: EndpointId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Further arguments of the stand-in.
    pub arguments: Vec<String>,
}

/// One plain service.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The endpoint's name; its instance has the same.
    pub endpoint: EndpointId,
    /// Where it runs.
    pub data_centre: DataCentreId,
}

impl FleetPlan {
    /// Six routers of unlike size, two in each of the given data centres.
    ///
    /// # Panics
    ///
    /// Panics if a name is not a valid data centre.
    pub fn six_routers(data_centres: [&str; 3]) -> Self {
        let capacities = [4, 2, 3, 2, 2, 1];
        let routers = (0..capacities.len()).map(|index| {
            let data_centre = data_centres[index / 2];
            let instance = format!("{data_centre}-r{}", index % 2 + 1);
            RouterPlan {
                instance: instance.parse().expect("a data centre's name is a valid beginning"),
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

    /// Adds an engine with further arguments of its stand-in.
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
