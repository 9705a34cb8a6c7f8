//! Compares the four endpoint policies under the load of both deployments.

mod args;
mod comparison_run;
mod deployment;
mod policy_result;

use std::process::ExitCode;

use args::ComparisonArgs;
use clap::Parser as _;

#[allow(clippy::print_stderr, reason = "the program's error goes to its terminal")]
fn main() -> ExitCode {
    let runtime = compio::runtime::Runtime::new().expect("the system has room for a runtime");
    match runtime.block_on(comparison_run::run(&ComparisonArgs::parse())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
