use bramleywind_macros::domain_type;

use crate::options_shape::{UnknownChoice, string_enum};

/// The format and level of the daemon's log.
#[domain_type]
#[derive(Copy, Default)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format of a log line.
    pub format: LogFormat,
    /// The minimum severity of the lines that are logged.
    pub level: LogLevel,
}

/// The format of log lines.
#[domain_type]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable lines for a terminal.
    Terminal,
}

/// The severity of a log line, in increasing order.
#[domain_type]
#[derive(Copy, Default, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Steps within a request. Release builds omit them.
    Trace,
    /// Messages between processes.
    Debug,
    /// One line per request, and changes of state.
    #[default]
    Info,
    /// Failures that the daemon recovers from.
    Warning,
    /// Failures that need the attention of an operator.
    Error,
    /// Failures that stop the process.
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
