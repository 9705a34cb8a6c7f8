use std::{collections::HashMap, rc::Rc};

use bramleywind_types::{ConfigRevision, ServiceId, WorkspaceId};

use super::{
    CallerLimits, FleetConfig, RouteConfig, ServiceConfig, WorkspaceAccount, WorkspaceKey,
};

/// Holds one revision of the configuration, indexed for lookups by requests.
#[derive(Debug)]
pub struct RouteTable {
    revision: ConfigRevision,
    limits: CallerLimits,
    routes: HashMap<Box<str>, HashMap<Box<str>, Rc<RouteConfig>>>,
    services: HashMap<ServiceId, ServiceConfig>,
    workspaces: HashMap<WorkspaceId, Rc<WorkspaceAccount>>,
    workspace_keys: HashMap<WorkspaceKey, Rc<WorkspaceAccount>>,
}

impl RouteTable {
    /// Builds the table from a configuration.
    pub fn new(config: FleetConfig) -> Self {
        let mut routes = HashMap::<Box<str>, HashMap<_, _>>::new();
        for route in config.routes {
            let prefix = route.path_prefix.clone();
            routes.entry(route.host.clone()).or_default().insert(prefix, Rc::new(route));
        }
        let services = config.services.into_iter().map(|service| (service.id.clone(), service));
        let mut workspaces = HashMap::new();
        let mut workspace_keys = HashMap::new();
        for workspace in config.workspaces {
            let workspace = Rc::new(workspace);
            for key in &workspace.keys {
                workspace_keys.insert(key.clone(), Rc::clone(&workspace));
            }
            workspaces.insert(workspace.id.clone(), workspace);
        }
        Self {
            revision: config.revision,
            limits: config.limits,
            routes,
            services: services.collect(),
            workspaces,
            workspace_keys,
        }
    }

    /// The revision of the configuration.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// The limits on callers' requests and connections.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteConfig>> {
        let prefixes = self.routes.get(host)?;
        // Prefixes end with a slash, so only positions after a slash of the path are looked up.
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }

    /// Returns the workspace that a key belongs to.
    pub fn find_key(&self, key: &WorkspaceKey) -> Option<&Rc<WorkspaceAccount>> {
        self.workspace_keys.get(key)
    }

    /// Returns the workspace with the given name.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Rc<WorkspaceAccount>> {
        self.workspaces.get(id)
    }

    /// Iterates over all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Rc<WorkspaceAccount>> {
        self.workspaces.values()
    }

    /// Returns the service with the given name.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceConfig> {
        self.services.get(id)
    }
}
