use bramleywind_macros::domain_type;

use crate::options_shape::{UnknownChoice, string_enum};

/// How the daemon logs.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}

/// The form of log lines.
#[domain_type]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For reading on a terminal.
    Terminal,
}

/// The severity of a log line, from the least severe.
#[domain_type]
#[derive(Copy, Default, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Steps within one request; absent from release builds.
    Trace,
    /// Each message between processes.
    Debug,
    /// One line a request, and changes of state.
    #[default]
    Info,
    /// Failures that the daemon recovers from.
    Warning,
    /// Failures that need an operator.
    Error,
    /// The process stops.
    Critical,
}

string_enum!(LogFormat { Json => "json", Terminal => "terminal" });
string_enum!(LogLevel {
    Trace => "trace",
    Debug => "debug",
    Info => "info",
    Warning => "warning",
    Error => "error",
    Critical => "critical",
});
