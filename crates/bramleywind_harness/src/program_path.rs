use std::{env, path::PathBuf};

use snafu::ResultExt;

use crate::{FleetError, fleet_error::SystemSnafu};

/// Returns the path of a program of this workspace, built with the same profile as the running program.
///
/// # Errors
///
/// [`FleetError::MissingProgram`] if it was not built.
pub fn program_path(name: &str) -> Result<PathBuf, FleetError> {
    let action = "find the running program";
    let mut folder = env::current_exe().context(SystemSnafu { action })?;
    folder.pop();
    // Tests are in `deps` and examples in `examples`, both subfolders of the programs' folder.
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    let path = folder.join(name);
    if !path.exists() {
        return Err(FleetError::MissingProgram { path });
    }
    Ok(path)
}
