use std::{io, path::PathBuf};

use snafu::Snafu;

/// Errors of starting, controlling or calling a local fleet.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// A program of the workspace was not built.
    #[snafu(display("program `{}` does not exist; run `cargo build --workspace --bins` first", path.display()))]
    MissingProgram {
        /// The path at which it was expected.
        path: PathBuf,
    },
    /// An operation of the operating system failed.
    #[snafu(display("cannot {action}: {source}"))]
    System {
        /// The action that failed, as a verb with its object.
        action: Box<str>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process did not become ready.
    #[snafu(display("process `{name}` did not become ready; its output ends with: {output}"))]
    NotReady {
        /// The name of the process.
        name: Box<str>,
        /// The end of its output.
        output: Box<str>,
    },
    /// An HTTP call got no complete response.
    #[snafu(display("call to `{url}` failed: {reason}"))]
    Call {
        /// The URL that was called.
        url: Box<str>,
        /// The cause, with the errors that led to it.
        reason: Box<str>,
    },
    /// A command exited with an error status.
    #[snafu(display("command `{command}` exited with status {status}: {output}"))]
    Command {
        /// The command line.
        command: Box<str>,
        /// Its exit status.
        status: i32,
        /// The output of the command.
        output: Box<str>,
    },
    /// A condition did not become true in time.
    #[snafu(display("timed out waiting until {condition}"))]
    Timeout {
        /// The description of the condition.
        condition: Box<str>,
    },
}
