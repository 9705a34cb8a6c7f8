use std::{net::SocketAddr, path::PathBuf};

use bramleywind_config::{DiagnosticList, InvalidPrivateKey};
use bramleywind_store::{ClientError, UnavailableReason};
use bramleywind_types::{BudgetId, InstanceId, OperationId, WorkspaceId};
use snafu::Snafu;

use crate::ExitStatus;

/// Why a command could not do its work.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A file could not be read.
    #[snafu(display("`{}` cannot be read: {source}; check the path", path.display()))]
    FileUnreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// A file could not be written.
    #[snafu(display("`{}` cannot be written: {source}; choose another path", path.display()))]
    FileUnwritable {
        /// The file.
        path: PathBuf,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The output could not be written to.
    #[snafu(display("the output cannot be written: {source}; check where it goes"))]
    Output {
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The client settings file breaks rules.
    #[snafu(display("the client settings `{}` are not valid:\n{diagnostics}", path.display()))]
    BadClientSettings {
        /// The file.
        path: PathBuf,
        /// Every error.
        diagnostics: DiagnosticList,
    },
    /// An address or a secret that the command needs was not given.
    #[snafu(display("this command needs {what}; give {remedy}"))]
    NotGiven {
        /// What is missing.
        what: &'static str,
        /// How to give it.
        remedy: &'static str,
    },
    /// The operators' token cannot be read or used.
    #[snafu(display("the operators' token: {reason}"))]
    BadToken {
        /// What is wrong, with the remedy. It does not contain the token.
        reason: Box<str>,
    },
    /// An instance has no known address.
    #[snafu(display(
        "no address is known for instance `{instance}`; give `--instance {instance}=IP:PORT` or add it to the client settings"
    ))]
    UnknownInstance {
        /// The instance.
        instance: InstanceId,
    },
    /// The private key's file does not hold one.
    #[snafu(display("`{}`: {source}", path.display()))]
    PrivateKey {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: InvalidPrivateKey,
    },
    /// The bearer key to hash is empty.
    #[snafu(display("the bearer key is empty; write it to the file or the standard input"))]
    EmptyKey,
    /// The HTTP client could not be built.
    #[snafu(display("{source}"))]
    StoreClient {
        /// The reason.
        source: ClientError,
    },
    /// The process's runtime or HTTP client could not be built.
    #[snafu(display("the tool cannot start: {reason}; check the limits on open files"))]
    Start {
        /// The reason.
        reason: Box<str>,
    },
    /// The store gave no answer.
    #[snafu(display("the store gave no answer ({}); repeat the command later", reason_text(*reason)))]
    StoreUnavailable {
        /// Why.
        reason: UnavailableReason,
    },
    /// A write's answer was lost, and reading back did not tell its fate in time.
    #[snafu(display(
        "the store lost the answer, and whether the change was made is not known; repeat the command{hint}"
    ))]
    FateUnknown {
        /// How to repeat it safely, if it needs more than the same command.
        hint: Box<str>,
    },
    /// A value in the store could not be understood.
    #[snafu(display(
        "the store's value of `{key}` cannot be read: {reason}; use a matching version of the tool"
    ))]
    StoredValue {
        /// The store key.
        key: Box<str>,
        /// What is wrong.
        reason: Box<str>,
    },
    /// The store holds no configuration.
    #[snafu(display("no configuration is in force; apply one with `bramleywind config apply`"))]
    NoConfig,
    /// The configuration has no such budget.
    #[snafu(display("the configuration in force has no budget `{budget}`; {remedy}"))]
    UnknownBudget {
        /// The budget.
        budget: BudgetId,
        /// What to do.
        remedy: Box<str>,
    },
    /// The configuration has no such workspace.
    #[snafu(display("the configuration in force has no workspace `{workspace}`; {remedy}"))]
    UnknownWorkspace {
        /// The workspace.
        workspace: WorkspaceId,
        /// What to do.
        remedy: Box<str>,
    },
    /// The budget record refused a top-up.
    #[snafu(display("{reason}"))]
    TopUpRefused {
        /// The operation.
        operation: OperationId,
        /// Why, with the remedy.
        reason: Box<str>,
    },
    /// An instance could not be reached.
    #[snafu(display(
        "`{address}` gave no answer ({reason}); check the address and that the instance runs"
    ))]
    InstanceUnreachable {
        /// Its address.
        address: SocketAddr,
        /// What happened.
        reason: Box<str>,
    },
    /// An instance refused a request.
    #[snafu(display("`{address}` refused the request with status `{status}`; {remedy}"))]
    InstanceRefused {
        /// Its address.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// What to do.
        remedy: &'static str,
    },
    /// An instance's answer could not be understood.
    #[snafu(display(
        "the answer of `{address}` cannot be read: {reason}; use a matching version of the tool"
    ))]
    InstanceAnswer {
        /// Its address.
        address: SocketAddr,
        /// What is wrong.
        reason: Box<str>,
    },
}

impl CommandError {
    /// The exit status of the error.
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

fn reason_text(reason: UnavailableReason) -> &'static str {
    match reason {
        UnavailableReason::RateLimited => "rate limit",
        UnavailableReason::Outage => "outage or no connection",
        UnavailableReason::Timeout => "timeout",
        UnavailableReason::Malformed => "malformed answer",
    }
}
