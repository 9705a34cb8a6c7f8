use std::path::PathBuf;

use bramleywind_config::DiagnosticList;
use snafu::Snafu;

/// The reason why a settings file was rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("the settings file `{}` cannot be read: {source}; check the path", path.display()))]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file violates at least one rule.
    #[snafu(display("the settings file `{}` is not valid:\n{diagnostics}", path.display()))]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// All errors in the file.
        diagnostics: DiagnosticList,
    },
}
