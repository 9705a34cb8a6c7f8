//! `bramleywindd`, the router daemon.

use std::process::ExitCode;

use bramleywind_router::{Args, run_daemon};
use clap::Parser;

fn main() -> ExitCode {
    run_daemon(&Args::parse())
}
