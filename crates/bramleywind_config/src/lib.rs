//! The fleet configuration that operators write: its types, validation and signature.
//!
//! The operator library writes these types, the command-line tool checks them and the daemon parses them. Sharing
//! one implementation ensures that all programs interpret a document in the same way.

mod budget_config;
mod check_document;
mod config_change;
mod config_difference;
mod config_document;
mod config_schema;
mod config_signature;
mod diagnostic;
mod document_shape;
mod endpoint_config;
mod engine_setup;
pub mod json;
mod key_hash;
mod model_config;
mod operator_public_key;
mod operator_signing_key;
mod rules;
mod service_config;
mod shape_rules;
mod signed_config;
mod workspace_config;

pub use budget_config::BudgetConfig;
pub use check_document::check_document;
pub use config_change::{ConfigChange, ConfigObject, ObjectKind};
pub use config_difference::ConfigDifference;
pub use config_document::{ConfigDocument, FORMAT_VERSION};
pub use config_schema::config_schema;
pub use config_signature::ConfigSignature;
pub use diagnostic::{Diagnostic, DiagnosticList};
pub use endpoint_config::{EndpointConfig, EndpointRole};
pub use engine_setup::{ModelAdapter, ModelVersion};
pub use key_hash::KeyHash;
pub use model_config::ModelConfig;
pub use operator_public_key::OperatorPublicKey;
pub use operator_signing_key::{InvalidPrivateKey, OperatorSigningKey};
pub use service_config::{RouteConfig, ServiceConfig};
pub use signed_config::{SignedConfig, SignedConfigError};
pub use workspace_config::{KeyConfig, WorkspaceConfig};
