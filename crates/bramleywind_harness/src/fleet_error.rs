use std::{io, path::PathBuf};

use snafu::Snafu;

/// Why a local fleet could not be started or asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// A program has not been built.
    #[snafu(display("program `{}` does not exist; run `cargo build --workspace --bins` first", path.display()))]
    MissingProgram {
        /// Where it was expected.
        path: PathBuf,
    },
    /// The operating system refused something.
    #[snafu(display("cannot {action}: {source}"))]
    System {
        /// What was tried.
        action: Box<str>,
        /// The refusal.
        source: io::Error,
    },
    /// A process did not become ready.
    #[snafu(display("process `{name}` did not become ready; its output ends with: {output}"))]
    NotReady {
        /// The process.
        name: Box<str>,
        /// The end of its output.
        output: Box<str>,
    },
    /// An HTTP call failed below HTTP.
    #[snafu(display("call of `{url}` failed: {reason}"))]
    Call {
        /// What was called.
        url: Box<str>,
        /// What went wrong.
        reason: Box<str>,
    },
    /// A command ended with an error.
    #[snafu(display("command `{command}` ended with status {status}: {output}"))]
    Command {
        /// The command line.
        command: Box<str>,
        /// Its exit status.
        status: i32,
        /// What it printed.
        output: Box<str>,
    },
    /// A condition did not become true in time.
    #[snafu(display("timed out waiting until {condition}"))]
    Timeout {
        /// The condition.
        condition: Box<str>,
    },
}
