//! Measures the latency, processor time, memory and store calls that a router costs.

mod args;
mod overhead_run;

use std::process::ExitCode;

use args::OverheadArgs;
use clap::Parser as _;

#[allow(clippy::print_stderr, reason = "the program's error goes to its terminal")]
fn main() -> ExitCode {
    let runtime = compio::runtime::Runtime::new().expect("the system has room for a runtime");
    match runtime.block_on(overhead_run::run(&OverheadArgs::parse())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
