//! Runs the stand-in for the weight store.

mod args;

use std::process::ExitCode;

use args::WeightsArgs;
use bramleywind_standins::{WeightsStandin, run_program};
use clap::Parser as _;

fn main() -> ExitCode {
    let start = WeightsStandin::start(WeightsArgs::parse().into_options());
    run_program(start, WeightsStandin::address, async |_| std::future::pending().await)
}
