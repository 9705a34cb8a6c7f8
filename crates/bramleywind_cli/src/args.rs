//! Definitions of the command-line arguments.

use std::{net::SocketAddr, path::PathBuf};

use bramleywind_types::{
    BudgetId, ConfigRevision, InstanceId, OperationId, TokenCount, WorkspaceId,
};
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

use crate::{InstanceAddress, OutputFormat};

const EXIT_CODES: &str = "\
Exit codes:
  0  the command succeeded, or its change had been made before
  1  the check or the request failed
  2  the command line or the client settings are not valid
  3  another operator's configuration is in force; it was left unchanged
  4  the store or an instance did not answer; the command is safe to repeat";

/// Checks, signs and applies configurations, tops up budgets and shows the state of routers.
#[derive(Debug, Parser)]
#[command(name = "bramleywind", version, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(flatten)]
    pub(crate) connection: ConnectionArgs,
    /// The output format.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Human)]
    pub(crate) output: OutputFormat,
    /// The command to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The addresses of the store and the instances. Each option overrides its field of the client settings file.
#[derive(Debug, Clone, Default, Args)]
pub struct ConnectionArgs {
    /// The client settings file, in JSON with comments.
    #[arg(long, global = true, value_name = "FILE", env = "BRAMLEYWIND_CLIENT_SETTINGS")]
    pub(crate) client_settings: Option<PathBuf>,
    /// The address of the key-value store.
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub(crate) store: Option<SocketAddr>,
    /// The operator port of an instance; may be repeated.
    #[arg(long = "instance", global = true, value_name = "ID=IP:PORT")]
    pub(crate) instances: Vec<InstanceAddress>,
    /// A caller port to query for the entries; may be repeated, and the first that answers is used.
    #[arg(long = "entry", global = true, value_name = "IP:PORT")]
    pub(crate) entries: Vec<SocketAddr>,
    /// The file that holds the bearer token of the operator ports.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) token_file: Option<PathBuf>,
    /// The timeout of each call, in milliseconds.
    #[arg(long, global = true, value_name = "MS", default_value_t = 2_000)]
    pub(crate) call_timeout_ms: u64,
}

/// The commands of the tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks, compares and applies configurations.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Generates operator keys and hashes bearer keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Tops up and shows prepaid budgets.
    #[command(subcommand)]
    Budget(BudgetCommand),
    /// Shows the balances of workspaces.
    #[command(subcommand)]
    Workspace(WorkspaceCommand),
    /// Checks the logs of gateways.
    #[command(subcommand)]
    Logs(LogsCommand),
    /// Lists the entry instances that callers are told to use.
    Entries,
    /// Starts the graceful shutdown of an instance.
    Drain(InstanceArgs),
    /// Prints the state of an instance.
    Dump(InstanceArgs),
    /// Prints a shell completion script.
    Completions {
        /// The shell to complete for.
        shell: Shell,
    },
}

/// The commands for configurations.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Checks a document without connecting to anything.
    Check(DocumentArgs),
    /// Prints the JSON schema of the document.
    Schema,
    /// Shows what a document would change in the configuration in force.
    Diff(DocumentArgs),
    /// Checks, signs and applies a document.
    Apply(ApplyArgs),
    /// Shows the revision in the store and the one in force on each instance.
    InForce,
}

/// The commands for keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Generates the operators' key pair: `NAME.key`, to be kept secret, and `NAME.pub` for the routers.
    Generate {
        /// The path of both files without the extension. Existing files are not overwritten.
        #[arg(value_name = "NAME")]
        name: PathBuf,
    },
    /// Prints the hash of a bearer key, read from a file or from the standard input.
    Hash {
        /// The file that holds the bearer key.
        #[arg(long, value_name = "FILE")]
        file: Option<PathBuf>,
    },
}

/// The commands for budgets.
#[derive(Debug, Subcommand)]
pub enum BudgetCommand {
    /// Adds tokens to a budget. Repeating the command with the same operation id adds nothing.
    TopUp(TopUpArgs),
    /// Shows the credit, spending and grants of a budget.
    Show {
        /// The id of the budget.
        budget: BudgetId,
    },
}

/// The commands for workspaces.
#[derive(Debug, Subcommand)]
pub enum WorkspaceCommand {
    /// Shows the tokens left in each budget of a workspace.
    Balance {
        /// The id of the workspace.
        workspace: WorkspaceId,
    },
}

/// The commands for logs.
#[derive(Debug, Subcommand)]
pub enum LogsCommand {
    /// Compares the final refusals of each workspace with what it was charged.
    Refusals {
        /// The log lines of all gateways, or `-` for the standard input.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
}

/// The document argument.
#[derive(Debug, Clone, Args)]
pub struct DocumentArgs {
    /// The configuration document, or `-` for the standard input.
    #[arg(value_name = "FILE")]
    pub(crate) file: PathBuf,
}

/// The arguments of `config apply`.
#[derive(Debug, Clone, Args)]
pub struct ApplyArgs {
    #[command(flatten)]
    pub(crate) document: DocumentArgs,
    /// The file that holds the operators' private key.
    #[arg(long, value_name = "FILE")]
    pub(crate) key: PathBuf,
    /// Applies the document only if this revision, the one it was written for, is in force; 0 for none.
    #[arg(long, value_name = "REVISION")]
    pub(crate) expect_revision: Option<ConfigRevision>,
    /// Replaces a configuration that was signed with another key.
    #[arg(long)]
    pub(crate) replace_other_key: bool,
}

/// The arguments of `budget top-up`.
#[derive(Debug, Clone, Args)]
pub struct TopUpArgs {
    /// The id of the budget.
    pub(crate) budget: BudgetId,
    /// The number of tokens to add.
    pub(crate) tokens: TokenCount,
    /// Identifies this top-up; pass the same id to repeat it. Without one, an id is generated and printed.
    #[arg(long, value_name = "ID")]
    pub(crate) operation_id: Option<OperationId>,
}

/// The instance argument.
#[derive(Debug, Clone, Args)]
pub struct InstanceArgs {
    /// The id of the instance; its address comes from `--instance` or the client settings.
    #[arg(value_name = "INSTANCE")]
    pub(crate) id: InstanceId,
}
