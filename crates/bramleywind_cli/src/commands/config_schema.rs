//! `config schema`.

use std::fmt;

use bramleywind_config::config_schema;
use serde::Serialize;

use crate::CommandReport;

/// The JSON schema of the document. It is JSON in both forms of the output.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct SchemaReport(serde_json::Value);

/// The schema.
pub fn schema() -> SchemaReport {
    SchemaReport(config_schema().into())
}

impl fmt::Display for SchemaReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

impl CommandReport for SchemaReport {}
