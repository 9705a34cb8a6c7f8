use std::path::PathBuf;

use bramleywind_config::DiagnosticList;
use snafu::Snafu;

/// Why a settings file was not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("the settings file `{}` cannot be read: {source}; check the path", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The file breaks rules.
    #[snafu(display("the settings file `{}` is not valid:\n{diagnostics}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Every error of the file.
        diagnostics: DiagnosticList,
    },
}
