use std::{collections::HashMap, rc::Rc};

use bramleywind_types::{ConfigRevision, ServiceId, WorkspaceId};

use super::{
    CallerLimits, FleetConfig, RouteConfig, ServiceConfig, WorkspaceAccount, WorkspaceKey,
};

/// One version of the configuration, arranged for look-ups by request.
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
    /// Arranges a configuration.
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

    /// The version of the configuration.
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of the host whose prefix is the longest that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteConfig>> {
        let prefixes = self.routes.get(host)?;
        // Prefixes end with a slash, so only the path's own slashes can end one.
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }

    /// The workspace that holds a key.
    pub fn find_key(&self, key: &WorkspaceKey) -> Option<&Rc<WorkspaceAccount>> {
        self.workspace_keys.get(key)
    }

    /// A workspace by its name.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Rc<WorkspaceAccount>> {
        self.workspaces.get(id)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Rc<WorkspaceAccount>> {
        self.workspaces.values()
    }

    /// A service by its name.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceConfig> {
        self.services.get(id)
    }
}
