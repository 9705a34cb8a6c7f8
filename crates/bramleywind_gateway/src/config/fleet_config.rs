use bramleywind_macros::domain_type;
use bramleywind_types::ConfigRevision;

use super::{CallerLimits, RouteConfig, ServiceConfig, WorkspaceAccount};

/// One complete revision of the operators' configuration.
#[domain_type]
#[derive(Default)]
#[serde(default)]
pub struct FleetConfig {
    /// The revision number.
    pub revision: ConfigRevision,
    /// The routes that map hosts and paths to services.
    pub routes: Vec<RouteConfig>,
    /// The services that requests are sent to.
    pub services: Vec<ServiceConfig>,
    /// The workspaces that may send requests.
    pub workspaces: Vec<WorkspaceAccount>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}
