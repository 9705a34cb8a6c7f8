use bramleywind_macros::domain_type;
use bramleywind_types::ConfigRevision;

use super::{CallerLimits, RouteConfig, ServiceConfig, WorkspaceAccount};

/// One version of the operators' configuration, whole.
#[domain_type]
#[derive(Default)]
#[serde(default)]
pub struct FleetConfig {
    /// Its version.
    pub revision: ConfigRevision,
    /// Where requests go.
    pub routes: Vec<RouteConfig>,
    /// What serves them.
    pub services: Vec<ServiceConfig>,
    /// Who may send them.
    pub workspaces: Vec<WorkspaceAccount>,
    /// What callers may send.
    pub limits: CallerLimits,
}
