//!
//! The operator library prints these types, the command-line tool checks them and the daemon parses them,
//! so that no two programs can read one document differently.

mod budget_config;
mod check_document;
mod config_document;
mod diagnostic;
mod document_shape;
mod endpoint_config;
pub mod json;
mod key_hash;
mod model_config;
mod rules;
mod service_config;
mod shape_rules;
mod workspace_config;

pub use budget_config::BudgetConfig;
pub use check_document::check_document;
pub use config_document::{ConfigDocument, FORMAT_VERSION};
pub use diagnostic::{Diagnostic, DiagnosticList};
pub use endpoint_config::{EndpointConfig, EndpointRole};
pub use key_hash::KeyHash;
pub use model_config::ModelConfig;
pub use service_config::{RouteConfig, ServiceConfig};
pub use workspace_config::{KeyConfig, WorkspaceConfig};
