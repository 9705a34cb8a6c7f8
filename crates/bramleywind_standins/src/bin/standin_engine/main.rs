//! Runs the stand-in for a model engine.

mod args;

use std::process::ExitCode;

use args::EngineArgs;
use bramleywind_standins::{EngineStandin, run_program};
use clap::Parser as _;

/// The exit status after a crash: that of a process that was ended by SIGABRT.
const CRASH_STATUS: u8 = 134;

fn main() -> ExitCode {
    let start = EngineStandin::start(EngineArgs::parse().into_options());
    run_program(start, EngineStandin::address, async |engine| {
        engine.wait_for_crash().await;
        ExitCode::from(CRASH_STATUS)
    })
}
