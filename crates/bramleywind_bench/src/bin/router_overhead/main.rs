//! Measures the latency, CPU time, memory and store calls that a router adds.

mod args;
mod overhead_run;

use std::process::ExitCode;

use args::OverheadArgs;
use clap::Parser as _;

#[allow(clippy::print_stderr, reason = "errors are printed to the terminal")]
fn main() -> ExitCode {
    let runtime = compio::runtime::Runtime::new().expect("the system can create an async runtime");
    match runtime.block_on(overhead_run::run(&OverheadArgs::parse())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
