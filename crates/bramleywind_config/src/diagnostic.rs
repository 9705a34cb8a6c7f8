use std::fmt;

/// An error in a file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Diagnostic {
    /// The line number, starting at 1.
    pub line: u32,
    /// The column number in characters, starting at 1.
    pub column: u32,
    /// The name of the violated rule, which is also the name of its source file.
    pub rule: &'static str,
    /// A description of the error and how to fix it.
    pub message: Box<str>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {} [{}]", self.line, self.column, self.message, self.rule)
    }
}

/// All errors of a file, sorted by position. A list that is returned as an error is never empty.
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
