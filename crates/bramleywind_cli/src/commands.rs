//! The commands, one module each. A command returns a report and prints nothing itself.

pub mod budget_show;
pub mod budget_top_up;
pub mod completions;
pub mod config_apply;
pub mod config_check;
pub mod config_diff;
pub mod config_in_force;
pub mod config_schema;
pub mod drain;
pub mod dump;
pub mod entries;
pub mod key_generate;
pub mod key_hash;
mod log_time;
pub mod logs_refusals;
pub mod workspace_balance;

use std::{fmt, fs, io::Read, path::Path};

use bramleywind_config::{ConfigChange, ConfigDifference, OperatorSigningKey};
use snafu::ResultExt;

use crate::{
    CommandError, Style,
    command_error::{FileUnreadableSnafu, PrivateKeySnafu},
};

/// Reads a document from a file, or from `input` if the path is `-`.
pub(crate) fn read_document(path: &Path, mut input: impl Read) -> Result<String, CommandError> {
    if path != Path::new("-") {
        return fs::read_to_string(path).context(FileUnreadableSnafu { path });
    }
    let mut text = String::new();
    input.read_to_string(&mut text).context(FileUnreadableSnafu { path })?;
    Ok(text)
}

/// Reads the operators' private key from its file.
pub(crate) fn read_private_key(path: &Path) -> Result<OperatorSigningKey, CommandError> {
    let text = fs::read_to_string(path).context(FileUnreadableSnafu { path })?;
    OperatorSigningKey::from_hex(&text).context(PrivateKeySnafu { path })
}

/// Writes one line per change, in the usual colours of a diff.
pub(crate) fn write_changes(
    f: &mut fmt::Formatter<'_>,
    difference: &ConfigDifference,
) -> fmt::Result {
    for change in &difference.changes {
        let style = match change {
            ConfigChange::Added { .. } => Style::GOOD,
            ConfigChange::Removed { .. } => Style::BAD,
            _ => Style::NOTICE,
        };
        write!(f, "\n  {}{change}{}", style.render(), style.render_reset())?;
    }
    Ok(())
}
