//! `config schema`: the JSON schema of the configuration document.

use std::fmt;

use bramleywind_config::config_schema;
use serde::Serialize;

use crate::CommandReport;

/// The JSON schema of the configuration document, printed as JSON in both output formats.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct SchemaReport(serde_json::Value);

/// Builds the schema.
pub fn build_schema() -> SchemaReport {
    SchemaReport(config_schema().into())
}

impl fmt::Display for SchemaReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

impl CommandReport for SchemaReport {}
