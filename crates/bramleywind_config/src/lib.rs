//! The operators' configuration: its types, which are its only schema.
//!
//! The operator library prints these types, the command-line tool checks them and the daemon parses them,
//! so that no two programs can read one document differently.

mod budget_config;
mod config_document;
mod endpoint_config;
mod key_hash;
mod model_config;
mod service_config;
mod workspace_config;

pub use budget_config::BudgetConfig;
pub use config_document::{ConfigDocument, FORMAT_VERSION};
pub use endpoint_config::{EndpointConfig, EndpointRole};
pub use key_hash::KeyHash;
pub use model_config::ModelConfig;
pub use service_config::{RouteConfig, ServiceConfig};
pub use workspace_config::{KeyConfig, WorkspaceConfig};
