//! `config check`: checks a document without using the network.

use std::{fmt, path::Path};

use bramleywind_config::{DiagnosticList, check_document};
use serde::Serialize;

use crate::{CommandReport, ExitStatus, Style};

/// The result of checking a document.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    /// The path of the file.
    pub file: Box<str>,
    /// Whether the document is valid.
    pub valid: bool,
    /// All errors found in the document.
    pub diagnostics: DiagnosticList,
}

/// Checks the text of a document.
pub fn check_config(file: &Path, text: &str) -> CheckReport {
    let diagnostics = check_document(text).err().unwrap_or_default();
    CheckReport {
        file: file.display().to_string().into(),
        valid: diagnostics.0.is_empty(),
        diagnostics,
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (good, bad) = (Style::GOOD, Style::BAD);
        if self.valid {
            return write!(f, "{}: {}valid{}", self.file, good.render(), good.render_reset());
        }
        for diagnostic in &self.diagnostics.0 {
            let (bad, reset) = (bad.render(), bad.render_reset());
            writeln!(
                f,
                "{}:{bad}{}:{}{reset}: {} [{}]",
                self.file, diagnostic.line, diagnostic.column, diagnostic.message, diagnostic.rule
            )?;
        }
        let count = self.diagnostics.0.len();
        write!(f, "{}: {count} error{}", self.file, if count == 1 { "" } else { "s" })
    }
}

impl CommandReport for CheckReport {
    fn status(&self) -> ExitStatus {
        if self.valid { ExitStatus::Done } else { ExitStatus::Failed }
    }
}
