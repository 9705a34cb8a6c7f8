//! `config diff`: the changes that a document would make to the configuration in force.

use std::{fmt, path::Path};

use bramleywind_config::{ConfigDifference, ConfigDocument, FORMAT_VERSION, check_document};
use bramleywind_store::Store;
use bramleywind_types::ConfigRevision;
use serde::Serialize;

use super::{config_check::CheckReport, write_changes};
use crate::{CommandError, CommandReport, ExitStatus, config_store::read_config};

/// The changes that a document would make to the configuration in force.
#[derive(Debug, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum DiffReport {
    /// The document is valid and was compared.
    Compared {
        /// The revision in force; absent if there is none yet.
        revision: Option<ConfigRevision>,
        /// The changes from the configuration in force to the document.
        changes: ConfigDifference,
    },
    /// The document is not valid.
    Invalid(CheckReport),
}

/// Compares the text of a document with the configuration in force.
///
/// # Errors
///
/// Fails if the store does not answer or its value cannot be decoded.
pub async fn diff_config(
    store: &impl Store,
    file: &Path,
    text: &str,
) -> Result<DiffReport, CommandError> {
    let Ok(document) = check_document(text) else {
        return Ok(DiffReport::Invalid(super::config_check::check_config(file, text)));
    };
    let applied = read_config(store).await?;
    let before = match &applied {
        Some(applied) => applied.document()?,
        None => empty_document(),
    };
    let revision = applied.map(|applied| applied.signed.revision);
    Ok(DiffReport::Compared { revision, changes: ConfigDifference::between(&before, &document) })
}

/// Returns the empty document that stands for the state before the first configuration.
pub(crate) fn empty_document() -> ConfigDocument {
    ConfigDocument {
        format: FORMAT_VERSION,
        workspaces: Vec::new(),
        budgets: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
        endpoints: Vec::new(),
    }
}

impl fmt::Display for DiffReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(report) => report.fmt(f),
            Self::Compared { revision, changes } => {
                match revision {
                    Some(revision) => write!(f, "compared with revision {revision} in force:")?,
                    None => write!(f, "no configuration is in force yet:")?,
                }
                if changes.is_empty() {
                    return write!(f, " no change");
                }
                write_changes(f, changes)
            }
        }
    }
}

impl CommandReport for DiffReport {
    fn status(&self) -> ExitStatus {
        match self {
            Self::Compared { .. } => ExitStatus::Done,
            Self::Invalid(report) => report.status(),
        }
    }
}
