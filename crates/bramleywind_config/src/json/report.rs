use jsonc_parser::common::Range;

use crate::{Diagnostic, DiagnosticList, json::JsonSource};

/// The errors found so far in one file.
#[derive(Debug)]
pub struct Report<'a> {
    source: JsonSource<'a>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> Report<'a> {
    /// An empty report on a file.
    pub fn new(source: JsonSource<'a>) -> Self {
        Self { source, diagnostics: Vec::new() }
    }

    /// The file.
    pub fn source(&self) -> &JsonSource<'a> {
        &self.source
    }

    /// Adds an error.
    pub fn add(&mut self, rule: &'static str, range: Range, message: impl Into<Box<str>>) {
        self.diagnostics.push(self.source.diagnostic(rule, range, message.into()));
    }

    /// Whether no error was found yet.
    pub fn is_clean(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// Ends the report.
    ///
    /// # Errors
    ///
    /// All errors, sorted by place, if there are any.
    pub fn finish(mut self) -> Result<(), DiagnosticList> {
        if self.diagnostics.is_empty() {
            return Ok(());
        }
        self.diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        Err(DiagnosticList(self.diagnostics))
    }
}
