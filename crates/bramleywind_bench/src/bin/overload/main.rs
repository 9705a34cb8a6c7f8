//! Measures useful work, refusals and fairness beyond the engines' capacity.

mod args;
mod load_result;
mod overload_fleet;
mod overload_run;

use std::process::ExitCode;

use args::OverloadArgs;
use clap::Parser as _;

#[allow(clippy::print_stderr, reason = "the program's error goes to its terminal")]
fn main() -> ExitCode {
    let runtime = compio::runtime::Runtime::new().expect("the system has room for a runtime");
    match runtime.block_on(overload_run::run(&OverloadArgs::parse())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
