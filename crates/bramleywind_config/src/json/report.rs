use jsonc_parser::common::Range;

use crate::{Diagnostic, DiagnosticList, json::JsonSource};

/// Collects the errors that are found in a file.
#[derive(Debug)]
pub struct Report<'a> {
    source: JsonSource<'a>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> Report<'a> {
    /// Creates an empty report for a file.
    pub fn new(source: JsonSource<'a>) -> Self {
        Self { source, diagnostics: Vec::new() }
    }

    /// Returns the source of the file.
    pub fn source(&self) -> &JsonSource<'a> {
        &self.source
    }

    /// Adds an error at the start of a range.
    pub fn add(&mut self, rule: &'static str, range: Range, message: impl Into<Box<str>>) {
        self.diagnostics.push(self.source.diagnostic(rule, range, message.into()));
    }

    /// Returns whether no error has been added so far.
    pub fn is_clean(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// Completes the report.
    ///
    /// # Errors
    ///
    /// Returns all errors, sorted by position, if there are any.
    pub fn finish(mut self) -> Result<(), DiagnosticList> {
        if self.diagnostics.is_empty() {
            return Ok(());
        }
        self.diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        Err(DiagnosticList(self.diagnostics))
    }
}
