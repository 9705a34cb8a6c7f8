//! The operators' configuration: routes, services and workspaces.

mod caller_limits;
mod engine_traits;
mod fleet_config;
mod route_config;
mod route_kind;
mod route_table;
mod service_config;
mod service_share;
mod workspace_account;
mod workspace_key;

pub use caller_limits::CallerLimits;
pub use engine_traits::EngineTraits;
pub use fleet_config::FleetConfig;
pub use route_config::RouteConfig;
pub use route_kind::RouteKind;
pub use route_table::RouteTable;
pub use service_config::ServiceConfig;
pub use service_share::ServiceShare;
pub use workspace_account::WorkspaceAccount;
pub use workspace_key::WorkspaceKey;
