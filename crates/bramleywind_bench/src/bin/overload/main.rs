//! Measures useful throughput, refusals and fairness under loads beyond the engines' capacity.

mod args;
mod load_result;
mod overload_fleet;
mod overload_run;

use std::process::ExitCode;

use args::OverloadArgs;
use clap::Parser as _;

#[allow(clippy::print_stderr, reason = "errors are printed to the terminal")]
fn main() -> ExitCode {
    let runtime = compio::runtime::Runtime::new().expect("the system can create an async runtime");
    match runtime.block_on(overload_run::run(&OverloadArgs::parse())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
