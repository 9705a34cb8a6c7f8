//! Runs the stand-in for the instance list.

mod args;

use std::process::ExitCode;

use args::InstancesArgs;
use bramleywind_standins::{InstancesStandin, run_program};
use clap::Parser as _;

fn main() -> ExitCode {
    let args = InstancesArgs::parse();
    let start = InstancesStandin::start(args.listen.listen);
    run_program(start, InstancesStandin::address, async |_| std::future::pending().await)
}
