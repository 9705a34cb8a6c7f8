//! The command line, apart from the work.

use std::{net::SocketAddr, path::PathBuf};

use bramleywind_types::{
    BudgetId, ConfigRevision, InstanceId, OperationId, TokenCount, WorkspaceId,
};
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

use crate::{InstanceAddress, OutputFormat};

const EXIT_CODES: &str = "\
Exit codes:
  0  done, or done before
  1  the check or the request failed
  2  the command line or the client settings are wrong
  3  another operator's configuration is in force; it was not changed
  4  the store or an instance was not reachable; the command is safe to repeat";

/// Checks, signs and applies configurations, tops up budgets and asks routers for their state.
#[derive(Debug, Parser)]
#[command(name = "bramleywind", version, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(flatten)]
    pub(crate) connection: ConnectionArgs,
    /// The form of the output.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Human)]
    pub(crate) output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Where the store and the instances are. An option replaces the field of the client settings file.
#[derive(Debug, Clone, Default, Args)]
pub struct ConnectionArgs {
    /// The client settings, JSON with comments.
    #[arg(long, global = true, value_name = "FILE", env = "BRAMLEYWIND_CLIENT_SETTINGS")]
    pub(crate) client_settings: Option<PathBuf>,
    /// The key-value store.
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub(crate) store: Option<SocketAddr>,
    /// An instance's operator port. Repeatable.
    #[arg(long = "instance", global = true, value_name = "ID=IP:PORT")]
    pub(crate) instances: Vec<InstanceAddress>,
    /// A caller port to ask for the entries. Repeatable; the first that answers counts.
    #[arg(long = "entry", global = true, value_name = "IP:PORT")]
    pub(crate) entries: Vec<SocketAddr>,
    /// The file with the bearer token of the operator ports.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) token_file: Option<PathBuf>,
    /// How long one call may take, in milliseconds.
    #[arg(long, global = true, value_name = "MS", default_value_t = 2_000)]
    pub(crate) call_timeout_ms: u64,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Configurations.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// The operators' keys and bearer keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Prepaid budgets.
    #[command(subcommand)]
    Budget(BudgetCommand),
    /// Workspaces.
    #[command(subcommand)]
    Workspace(WorkspaceCommand),
    /// Shows the entry instances that callers are told.
    Entries,
    /// Starts the graceful shutdown of an instance.
    Drain(InstanceArgs),
    /// Prints the state of an instance.
    Dump(InstanceArgs),
    /// Prints the completions of a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Commands on configurations.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Checks a document without any connection.
    Check(DocumentArgs),
    /// Prints the JSON schema of the document.
    Schema,
    /// Shows what a document would change in the configuration in force.
    Diff(DocumentArgs),
    /// Checks, signs and applies a document.
    Apply(ApplyArgs),
    /// Shows the revision in the store and that of each instance.
    InForce,
}

/// Commands on keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Makes the operators' key pair: `NAME.key`, which stays secret, and `NAME.pub` for the routers.
    Generate {
        /// The path of both files without their endings. Existing files are not replaced.
        #[arg(value_name = "NAME")]
        name: PathBuf,
    },
    /// Prints the hash of a bearer key, which is read from a file or the standard input.
    Hash {
        /// The file with the bearer key.
        #[arg(long, value_name = "FILE")]
        file: Option<PathBuf>,
    },
}

/// Commands on budgets.
#[derive(Debug, Subcommand)]
pub enum BudgetCommand {
    /// Adds tokens to a budget. Repeating it with the same operation id changes nothing.
    TopUp(TopUpArgs),
    /// Shows the account of a budget.
    Show {
        /// The budget.
        budget: BudgetId,
    },
}

/// Commands on workspaces.
#[derive(Debug, Subcommand)]
pub enum WorkspaceCommand {
    /// Shows what a workspace has left in each of its budgets.
    Balance {
        /// The workspace.
        workspace: WorkspaceId,
    },
}

/// A document.
#[derive(Debug, Clone, Args)]
pub struct DocumentArgs {
    /// The document; `-` for the standard input.
    #[arg(value_name = "FILE")]
    pub(crate) file: PathBuf,
}

/// How to apply a document.
#[derive(Debug, Clone, Args)]
pub struct ApplyArgs {
    #[command(flatten)]
    pub(crate) document: DocumentArgs,
    /// The file with the operators' private key.
    #[arg(long, value_name = "FILE")]
    pub(crate) key: PathBuf,
    /// Applies only if this revision is in force, which the document was written for; 0 for none.
    #[arg(long, value_name = "REVISION")]
    pub(crate) expect_revision: Option<ConfigRevision>,
    /// Replaces a configuration that was signed with another key.
    #[arg(long)]
    pub(crate) replace_other_key: bool,
}

/// What to add to a budget.
#[derive(Debug, Clone, Args)]
pub struct TopUpArgs {
    /// The budget.
    pub(crate) budget: BudgetId,
    /// How many tokens to add.
    pub(crate) tokens: TokenCount,
    /// Names this top-up. Give the same id when repeating it; one is made and printed if none is given.
    #[arg(long, value_name = "ID")]
    pub(crate) operation_id: Option<OperationId>,
}

/// An instance.
#[derive(Debug, Clone, Args)]
pub struct InstanceArgs {
    /// The instance, whose address `--instance` or the client settings give.
    #[arg(value_name = "INSTANCE")]
    pub(crate) id: InstanceId,
}
