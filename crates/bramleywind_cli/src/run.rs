use std::{
    ffi::OsString,
    io::{self, Write},
    process::ExitCode,
};

use clap::{CommandFactory, Parser};
use snafu::ResultExt;

use crate::{
    Cli, ClientSettings, Command, CommandError, CommandReport, ExitStatus, OutputFormat,
    args::{BudgetCommand, ConfigCommand, KeyCommand, LogsCommand, WorkspaceCommand},
    command_error::OutputSnafu,
    commands, render_error, render_report,
};

/// Runs the command line of this process. Styles are stripped where the output is not a terminal.
pub fn run_process() -> ExitCode {
    run(std::env::args_os(), &mut anstream::stdout(), &mut anstream::stderr()).into()
}

/// Runs a command line and writes styled output to the given writers.
pub fn run(
    arguments: impl IntoIterator<Item = OsString>,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> ExitStatus {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(error) => return print_clap_message(&error, output, errors),
    };
    let format = cli.output;
    let result = compio::runtime::Runtime::new()
        .map_err(|error| CommandError::Start { reason: error.to_string().into() })
        .and_then(|runtime| {
            runtime.block_on(execute(&cli, &mut Printer { format, output, errors }))
        });
    match result {
        Ok(status) => status,
        Err(error) => {
            // A failed write is ignored: the exit code still reports the error.
            let _ = errors.write_all(render_error(&error, format).as_bytes());
            error.status()
        }
    }
}

/// Prints help and version texts to the output, and anything else as a usage error.
fn print_clap_message(
    error: &clap::Error,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> ExitStatus {
    let text = error.render().ansi().to_string();
    let (written, status) = if error.use_stderr() {
        (errors.write_all(text.as_bytes()), ExitStatus::Usage)
    } else {
        (output.write_all(text.as_bytes()), ExitStatus::Done)
    };
    if written.is_ok() { status } else { ExitStatus::Failed }
}

/// Prints reports in the chosen format.
struct Printer<'w, O, E> {
    format: OutputFormat,
    output: &'w mut O,
    errors: &'w mut E,
}

impl<O: Write, E: Write> Printer<'_, O, E> {
    /// Prints a report and returns its exit status.
    fn print_report(&mut self, report: &impl CommandReport) -> Result<ExitStatus, CommandError> {
        let text = render_report(report, self.format);
        self.output
            .write_all(text.as_bytes())
            .and_then(|()| self.output.flush())
            .context(OutputSnafu)?;
        Ok(report.status())
    }

    /// Prints a line to the error output at once, apart from the report at the end of the command.
    fn print_notice(&mut self, text: &str) -> Result<(), CommandError> {
        writeln!(self.errors, "{text}").and_then(|()| self.errors.flush()).context(OutputSnafu)
    }
}

/// Runs a command and prints its report.
async fn execute<O: Write, E: Write>(
    cli: &Cli,
    printer: &mut Printer<'_, O, E>,
) -> Result<ExitStatus, CommandError> {
    let settings = ClientSettings::resolve(&cli.connection)?;
    match &cli.command {
        Command::Config(command) => execute_config(command, &settings, printer).await,
        Command::Key(KeyCommand::Generate { name }) => {
            printer.print_report(&commands::key_generate::generate_key_pair(name)?)
        }
        Command::Key(KeyCommand::Hash { file }) => printer
            .print_report(&commands::key_hash::hash_key(file.as_deref(), io::stdin().lock())?),
        Command::Budget(BudgetCommand::TopUp(args)) => {
            let store = settings.store()?;
            let operation = match &args.operation_id {
                Some(operation) => operation.clone(),
                None => {
                    let operation = commands::budget_top_up::random_operation_id();
                    // Printed first, because repeating an interrupted command safely needs the id.
                    printer.print_notice(&format!("operation id: {operation}"))?;
                    operation
                }
            };
            let top_up = commands::budget_top_up::top_up_budget(
                &store,
                &args.budget,
                args.tokens,
                operation,
            );
            printer.print_report(&top_up.await?)
        }
        Command::Budget(BudgetCommand::Show { budget }) => printer
            .print_report(&commands::budget_show::show_budget(&settings.store()?, budget).await?),
        Command::Workspace(WorkspaceCommand::Balance { workspace }) => {
            let store = settings.store()?;
            printer
                .print_report(&commands::workspace_balance::read_balance(&store, workspace).await?)
        }
        Command::Logs(LogsCommand::Refusals { file }) => {
            let text = commands::read_document(file, io::stdin().lock())?;
            printer.print_report(&commands::logs_refusals::check_refusals(&text))
        }
        Command::Entries => {
            let client = settings.caller_client()?;
            printer.print_report(
                &commands::entries::fetch_entries(&client, settings.entries()?).await?,
            )
        }
        Command::Drain(args) => {
            let address = settings.instance(&args.id)?;
            let client = settings.operator_client()?;
            printer
                .print_report(&commands::drain::drain_instance(&client, &args.id, address).await?)
        }
        Command::Dump(args) => {
            let address = settings.instance(&args.id)?;
            printer.print_report(
                &commands::dump::fetch_dump(&settings.operator_client()?, address).await?,
            )
        }
        Command::Completions { shell } => printer
            .print_report(&commands::completions::generate_completions(*shell, Cli::command())),
    }
}

/// Runs a `config` command and prints its report.
async fn execute_config<O: Write, E: Write>(
    command: &ConfigCommand,
    settings: &ClientSettings,
    printer: &mut Printer<'_, O, E>,
) -> Result<ExitStatus, CommandError> {
    match command {
        ConfigCommand::Check(args) => {
            let text = commands::read_document(&args.file, io::stdin().lock())?;
            printer.print_report(&commands::config_check::check_config(&args.file, &text))
        }
        ConfigCommand::Schema => printer.print_report(&commands::config_schema::build_schema()),
        ConfigCommand::Diff(args) => {
            let text = commands::read_document(&args.file, io::stdin().lock())?;
            let store = settings.store()?;
            printer
                .print_report(&commands::config_diff::diff_config(&store, &args.file, &text).await?)
        }
        ConfigCommand::Apply(args) => {
            let text = commands::read_document(&args.document.file, io::stdin().lock())?;
            let plan = commands::config_apply::ApplyPlan {
                file: args.document.file.clone(),
                text: text.into(),
                key: commands::read_private_key(&args.key)?,
                expect_revision: args.expect_revision,
                replace_other_key: args.replace_other_key,
            };
            printer.print_report(
                &commands::config_apply::apply_config(&settings.store()?, &plan).await?,
            )
        }
        ConfigCommand::InForce => {
            let store = settings.store()?;
            let instances = settings.instances();
            // Without instances to query, no token is needed.
            let client = match instances {
                [] => settings.caller_client()?,
                _ => settings.operator_client()?,
            };
            printer.print_report(
                &commands::config_in_force::read_revisions(&store, &client, instances).await?,
            )
        }
    }
}
