//! `completions`: the completion script for a shell.

use std::fmt;

use clap_complete::Shell;
use serde::Serialize;

use crate::CommandReport;

/// A shell completion script.
#[derive(Debug, Serialize)]
pub struct CompletionsReport {
    /// The text of the script.
    pub script: Box<str>,
}

/// Generates the completion script for a shell.
pub fn generate_completions(shell: Shell, mut command: clap::Command) -> CompletionsReport {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "bramleywind", &mut script);
    CompletionsReport { script: String::from_utf8_lossy(&script).into() }
}

impl fmt::Display for CompletionsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.script)
    }
}

impl CommandReport for CompletionsReport {}
