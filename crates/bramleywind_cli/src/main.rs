//! `bramleywind`, the command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    bramleywind_cli::run_process()
}
