//! Printing: a report or an error, for people or for programs.

mod command_report;
mod style;

use std::fmt::Write as _;

pub use command_report::CommandReport;
pub use style::Style;

use crate::CommandError;

/// The form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum OutputFormat {
    /// For reading, with colours on a terminal.
    Human,
    /// One JSON document.
    Json,
}

/// A report as it is printed to the standard output, with styles that a terminal shows.
pub fn render_report(report: &impl CommandReport, format: OutputFormat) -> String {
    match format {
        OutputFormat::Human => terminated(report.to_string()),
        OutputFormat::Json => terminated(to_json(report)),
    }
}

/// An error as it is printed to the standard error output.
pub fn render_error(error: &CommandError, format: OutputFormat) -> String {
    match format {
        OutputFormat::Human => {
            let (bad, reset) = (Style::BAD.render(), Style::BAD.render_reset());
            format!("{bad}error{reset}: {error}\n")
        }
        OutputFormat::Json => {
            let document = ErrorDocument { status: error.status(), message: error.to_string() };
            terminated(to_json(&document))
        }
    }
}

/// The JSON form of an error.
#[derive(Debug, serde::Serialize)]
struct ErrorDocument {
    status: crate::ExitStatus,
    message: String,
}

fn to_json(value: &impl serde::Serialize) -> String {
    // Reports have text keys only, so that serialization cannot fail.
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn terminated(mut text: String) -> String {
    if !text.is_empty() && !text.ends_with('\n') {
        // Writing to a string does not fail.
        let _ = writeln!(text);
    }
    text
}
