//! Runs the stand-in for the key-value store.

mod args;

use std::process::ExitCode;

use args::StoreArgs;
use bramleywind_standins::{StoreStandin, run_program};
use clap::Parser as _;

fn main() -> ExitCode {
    let args = StoreArgs::parse();
    let start = StoreStandin::start(args.listen.listen);
    run_program(start, StoreStandin::address, async |_| std::future::pending().await)
}
