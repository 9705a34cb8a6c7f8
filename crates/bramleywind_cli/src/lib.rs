//! The command-line tool for operators. It checks, signs and applies configurations, tops up budgets, and
//! shows the state of routers.
//!
//! Each command is a function that takes parsed arguments and a store and returns a report, so that tests can
//! run it against an in-memory store. Printing and exit codes are handled in one place, by [`run()`].

mod args;
mod budget_store;
mod client_settings;
mod command_error;
pub mod commands;
mod config_store;
mod exit_status;
mod instance_address;
mod operator_client;
mod output;
mod retry;
mod run;

pub use args::{Cli, Command};
pub use client_settings::{ClientOptions, ClientSettings};
pub use command_error::CommandError;
pub use config_store::{AppliedConfig, read_config};
pub use exit_status::ExitStatus;
pub use instance_address::{InstanceAddress, InstanceAddressError};
pub use operator_client::OperatorClient;
pub use output::{CommandReport, OutputFormat, Style, render_error, render_report};
pub use run::{run, run_process};
