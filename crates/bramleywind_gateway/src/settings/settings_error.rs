use std::path::PathBuf;

use bramleywind_config::DiagnosticList;
use snafu::Snafu;

/// Why a settings file was not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewaySettingsError {
    /// The file could not be read.
    #[snafu(display("the settings file `{}` cannot be read: {source}; check the path", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The file is not JSON with comments, or a key is missing, unknown or of another type.
    #[snafu(display("the settings are not valid:\n{diagnostics}"))]
    Invalid {
        /// What is wrong, with lines and columns.
        diagnostics: DiagnosticList,
    },
    /// The time for a planned stop is not usable.
    #[snafu(display("`stop_grace_seconds` is {value}; give a number from 1 to 3600"))]
    StopGrace {
        /// The value.
        value: f64,
    },
    /// The share of retries is no share.
    #[snafu(display("`retries.share` is {value}; give a number from 0 to 1"))]
    RetryShare {
        /// The value.
        value: f64,
    },
    /// Two ports are the same.
    #[snafu(display("`listen` names {address} twice; give each port an address of its own"))]
    SameAddress {
        /// The address.
        address: std::net::SocketAddr,
    },
}
