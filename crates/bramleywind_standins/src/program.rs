//! The common main function of the stand-in programs.

use std::{future::Future, net::SocketAddr, process::ExitCode};

use crate::StandinError;

/// Runs a stand-in program: starts the stand-in, prints `listening on ADDRESS` and waits for `until_exit`,
/// which yields the exit code.
///
/// # Examples
///
/// ```no_run
/// use bramleywind_standins::{StoreStandin, run_program};
///
/// let listen = "127.0.0.1:0".parse().unwrap();
/// run_program(StoreStandin::start(listen), StoreStandin::address, async |_| std::future::pending().await);
/// ```
#[allow(
    clippy::print_stdout,
    clippy::print_stderr,
    reason = "the output is the interface to the parent process"
)]
pub fn run_program<S>(
    start: impl Future<Output = Result<S, StandinError>>,
    address: impl FnOnce(&S) -> SocketAddr,
    until_exit: impl AsyncFnOnce(&S) -> ExitCode,
) -> ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        match start.await {
            Ok(standin) => {
                println!("listening on {}", address(&standin));
                until_exit(&standin).await
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    })
}
