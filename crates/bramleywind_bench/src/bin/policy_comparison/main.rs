//! Compares the endpoint policies under the load of two deployments.

mod args;
mod comparison_run;
mod deployment;
mod policy_result;

use std::process::ExitCode;

use args::ComparisonArgs;
use clap::Parser as _;

#[allow(clippy::print_stderr, reason = "errors are printed to the terminal")]
fn main() -> ExitCode {
    let runtime = compio::runtime::Runtime::new().expect("the system can create an async runtime");
    match runtime.block_on(comparison_run::run(&ComparisonArgs::parse())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
