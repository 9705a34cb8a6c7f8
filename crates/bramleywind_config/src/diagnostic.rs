use std::fmt;

/// One error in a file, with its place.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Diagnostic {
    /// The line, counted from 1.
    pub line: u32,
    /// The column in characters, counted from 1.
    pub column: u32,
    /// The rule that was broken, named as its source file is.
    pub rule: &'static str,
    /// What is wrong and how to mend it.
    pub message: Box<str>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {} [{}]", self.line, self.column, self.message, self.rule)
    }
}

/// All errors of a file, in the order of their places. Never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
#[serde(transparent)]
pub struct DiagnosticList(pub Vec<Diagnostic>);

impl fmt::Display for DiagnosticList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            diagnostic.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for DiagnosticList {}
