//! Renders reports and errors as text for people or as JSON for programs.

mod command_report;
mod style;

use std::fmt::Write as _;

pub use command_report::CommandReport;
pub use style::Style;

use crate::CommandError;

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum OutputFormat {
    /// Text for people, with colours on a terminal.
    Human,
    /// A single JSON document.
    Json,
}

/// Renders a report for the standard output, with ANSI styles in the human format.
pub fn render_report(report: &impl CommandReport, format: OutputFormat) -> String {
    match format {
        OutputFormat::Human => with_final_newline(report.to_string()),
        OutputFormat::Json => with_final_newline(to_json(report)),
    }
}

/// Renders an error for the standard error, with ANSI styles in the human format.
pub fn render_error(error: &CommandError, format: OutputFormat) -> String {
    match format {
        OutputFormat::Human => {
            let (bad, reset) = (Style::BAD.render(), Style::BAD.render_reset());
            format!("{bad}error{reset}: {error}\n")
        }
        OutputFormat::Json => {
            let document = ErrorDocument { status: error.status(), message: error.to_string() };
            with_final_newline(to_json(&document))
        }
    }
}

/// The JSON representation of an error.
#[derive(Debug, serde::Serialize)]
struct ErrorDocument {
    status: crate::ExitStatus,
    message: String,
}

fn to_json(value: &impl serde::Serialize) -> String {
    // Serialization can't fail: all map keys of reports are strings.
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn with_final_newline(mut text: String) -> String {
    if !text.is_empty() && !text.ends_with('\n') {
        // Writing to a string can't fail.
        let _ = writeln!(text);
    }
    text
}
