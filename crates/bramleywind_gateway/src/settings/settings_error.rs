use std::path::PathBuf;

use bramleywind_config::DiagnosticList;
use snafu::Snafu;

/// An error in reading or validating a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewaySettingsError {
    /// The file could not be read.
    #[snafu(display("the settings file `{}` cannot be read: {source}; check the path", path.display()))]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON with comments, or a key is missing, unknown or of the wrong type.
    #[snafu(display("the settings are invalid:\n{diagnostics}"))]
    Invalid {
        /// The problems, with lines and columns.
        diagnostics: DiagnosticList,
    },
    /// The grace time for a planned stop is out of range.
    #[snafu(display("`stop_grace_seconds` is {value}; give a number from 1 to 3600"))]
    StopGrace {
        /// The value.
        value: f64,
    },
    /// The share of retries is not within 0 and 1.
    #[snafu(display("`retries.share` is {value}; give a number from 0 to 1"))]
    RetryShare {
        /// The value.
        value: f64,
    },
    /// The bound on requests to leaving endpoints is too short to be kept.
    #[snafu(display("`leaving_bound_milliseconds` is {value}; give more than 300"))]
    LeavingBound {
        /// The value.
        value: u64,
    },
    /// The processor capacity is not positive.
    #[snafu(display(
        "`processor` has a share of {share} and {cores} cores; give positive numbers"
    ))]
    Processor {
        /// The share of each core.
        share: f64,
        /// The number of cores.
        cores: f64,
    },
    /// A limit of the instance is not positive.
    #[snafu(display(
        "`limits` has {memory_megabytes:?} MB of memory and a link of {link_megabits:?} Mbit/s; give positive numbers or \
         leave them out"
    ))]
    InstanceLimits {
        /// The memory, if it is given.
        memory_megabytes: Option<f64>,
        /// The rate of the link, if it is given.
        link_megabits: Option<f64>,
    },
    /// Two listeners have the same address.
    #[snafu(display("`listen` has {address} twice; give each listener its own address"))]
    SameAddress {
        /// The repeated address.
        address: std::net::SocketAddr,
    },
}
