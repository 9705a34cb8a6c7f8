//! Runs the stand-in for a plain service.

mod args;

use std::process::ExitCode;

use args::ServiceArgs;
use bramleywind_standins::{ServiceStandin, run_program};
use clap::Parser as _;

fn main() -> ExitCode {
    let start = ServiceStandin::start(ServiceArgs::parse().into_options());
    run_program(start, ServiceStandin::address, async |_| std::future::pending().await)
}
