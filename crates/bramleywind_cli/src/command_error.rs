use std::{net::SocketAddr, path::PathBuf};

use bramleywind_config::{DiagnosticList, InvalidPrivateKey};
use bramleywind_store::{ClientError, UnavailableReason};
use bramleywind_types::{BudgetId, InstanceId, OperationId, WorkspaceId};
use snafu::Snafu;

use crate::ExitStatus;

/// An error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A file could not be read.
    #[snafu(display("`{}` cannot be read: {source}; check the path", path.display()))]
    FileUnreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file could not be written.
    #[snafu(display("`{}` cannot be written: {source}; choose another path", path.display()))]
    FileUnwritable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The output could not be written.
    #[snafu(display("the output cannot be written: {source}; check where it is redirected to"))]
    Output {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The client settings file is not valid.
    #[snafu(display("the client settings `{}` are not valid:\n{diagnostics}", path.display()))]
    BadClientSettings {
        /// The path of the file.
        path: PathBuf,
        /// All errors found in the file.
        diagnostics: DiagnosticList,
    },
    /// An address or a secret that the command needs is missing.
    #[snafu(display("this command needs {what}; give {remedy}"))]
    NotGiven {
        /// What is missing.
        what: &'static str,
        /// How to provide it.
        remedy: &'static str,
    },
    /// The operators' token cannot be read or used.
    #[snafu(display("the operators' token cannot be used: {reason}"))]
    BadToken {
        /// The reason and the remedy. It never contains the token.
        reason: Box<str>,
    },
    /// The address of an instance is not known.
    #[snafu(display(
        "no address is known for instance `{instance}`; pass `--instance {instance}=IP:PORT` or add it to the client settings"
    ))]
    UnknownInstance {
        /// The instance.
        instance: InstanceId,
    },
    /// The private key file does not contain a valid key.
    #[snafu(display("`{}`: {source}", path.display()))]
    PrivateKey {
        /// The path of the file.
        path: PathBuf,
        /// Why the key is not valid.
        source: InvalidPrivateKey,
    },
    /// The bearer key to hash is empty.
    #[snafu(display("the bearer key is empty; write it to the file or to the standard input"))]
    EmptyKey,
    /// The HTTP client of the store could not be built.
    #[snafu(display("{source}"))]
    StoreClient {
        /// The error of the HTTP client.
        source: ClientError,
    },
    /// The async runtime or the HTTP client could not be built, or the system has no random numbers.
    #[snafu(display("the command cannot start: {reason}; check the limit on open files"))]
    Start {
        /// The error message.
        reason: Box<str>,
    },
    /// The store did not answer.
    #[snafu(display("the store did not answer ({}); repeat the command later", reason_text(*reason)))]
    StoreUnavailable {
        /// The cause.
        reason: UnavailableReason,
    },
    /// The answer to a write was lost, and reading the value back did not show in time whether it was applied.
    #[snafu(display(
        "the store's answer was lost, so it is not known whether the change was made; repeat the command{hint}"
    ))]
    FateUnknown {
        /// What to add to the command when repeating it, or why to repeat it; it completes the message.
        hint: Box<str>,
    },
    /// A value in the store could not be decoded.
    #[snafu(display(
        "the store's value of `{key}` cannot be read: {reason}; use a matching version of the tool"
    ))]
    StoredValue {
        /// The store key.
        key: Box<str>,
        /// Why it could not be decoded.
        reason: Box<str>,
    },
    /// The store holds no configuration.
    #[snafu(display("no configuration is in force; apply one with `bramleywind config apply`"))]
    NoConfig,
    /// The configuration in force has no budget of this name.
    #[snafu(display("the configuration in force has no budget `{budget}`; {remedy}"))]
    UnknownBudget {
        /// The budget.
        budget: BudgetId,
        /// The remedy.
        remedy: Box<str>,
    },
    /// The configuration in force has no workspace of this name.
    #[snafu(display("the configuration in force has no workspace `{workspace}`; {remedy}"))]
    UnknownWorkspace {
        /// The workspace.
        workspace: WorkspaceId,
        /// The remedy.
        remedy: Box<str>,
    },
    /// A top-up was refused.
    #[snafu(display("{reason}"))]
    TopUpRefused {
        /// The id of the top-up operation.
        operation: OperationId,
        /// The reason and the remedy.
        reason: Box<str>,
    },
    /// An instance did not answer.
    #[snafu(display(
        "`{address}` did not answer ({reason}); check the address and that the instance is running"
    ))]
    InstanceUnreachable {
        /// The address of the instance.
        address: SocketAddr,
        /// The cause.
        reason: Box<str>,
    },
    /// An instance refused a request.
    #[snafu(display("`{address}` refused the request with status `{status}`; {remedy}"))]
    InstanceRefused {
        /// The address of the instance.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The remedy.
        remedy: &'static str,
    },
    /// An instance's answer could not be decoded.
    #[snafu(display(
        "the answer of `{address}` cannot be read: {reason}; use a matching version of the tool"
    ))]
    InstanceAnswer {
        /// The address of the instance.
        address: SocketAddr,
        /// Why it could not be decoded.
        reason: Box<str>,
    },
}

impl CommandError {
    /// Returns the exit status for the error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::BadClientSettings { .. }
            | Self::NotGiven { .. }
            | Self::BadToken { .. }
            | Self::UnknownInstance { .. } => ExitStatus::Usage,
            Self::StoreUnavailable { .. }
            | Self::FateUnknown { .. }
            | Self::InstanceUnreachable { .. } => ExitStatus::Unreachable,
            _ => ExitStatus::Failed,
        }
    }
}

/// Returns the text of a reason in messages.
fn reason_text(reason: UnavailableReason) -> &'static str {
    match reason {
        UnavailableReason::RateLimited => "rate limit",
        UnavailableReason::Outage => "outage or no connection",
        UnavailableReason::Timeout => "timeout",
        UnavailableReason::Malformed => "malformed answer",
        UnavailableReason::TooLarge => "answer too large",
    }
}
