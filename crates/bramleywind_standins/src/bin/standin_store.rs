//! Serves the stand-in for the key-value store.

use std::process::ExitCode;

use bramleywind_standins::{ListenArgs, StoreStandin, run_program};
use clap::Parser;

/// Stand-in for the platform's key-value store.
#[derive(Debug, Parser)]
struct StoreArgs {
    #[command(flatten)]
    listen: ListenArgs,
}

fn main() -> ExitCode {
    let args = StoreArgs::parse();
    let start = StoreStandin::start(args.listen.listen);
    run_program(start, StoreStandin::address, async |_| std::future::pending().await)
}
