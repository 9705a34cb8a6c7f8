use std::{future::pending, process::ExitCode};

use bramleywind_settings::DaemonSettings;
use bramleywind_signals::{DaemonSignals, SignalKind};
use compio::runtime::Runtime;
use futures_util::future::{Either, select};
use slog::{crit, info};

use crate::{Args, Router, RouterOptions, RouterState, new_logger};

/// Runs the daemon until it has drained. Returns exit status 0 after a drain, and 1 if the daemon could not start.
#[allow(clippy::print_stderr, reason = "the logger is created from the settings")]
pub fn run_daemon(args: &Args) -> ExitCode {
    let settings = match DaemonSettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    // Kept until the end, because dropping the guard flushes the log queue.
    let (log, _log_guard) = new_logger(&settings);
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            crit!(log, "the runtime could not be started"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        let signals = match DaemonSignals::register().await {
            Ok(signals) => signals,
            Err(error) => {
                crit!(log, "signals cannot be received"; "error" => %error);
                return ExitCode::FAILURE;
            }
        };
        let options = RouterOptions::new(settings, log.clone());
        let options = RouterOptions { allow_test_faults: args.allow_test_faults, ..options };
        let router = match Router::start(options).await {
            Ok(router) => router,
            Err(error) => {
                crit!(log, "the router could not be started"; "error" => %error);
                return ExitCode::FAILURE;
            }
        };
        info!(log, "router started"; "caller_address" => %router.caller_address(),
            "operator_address" => %router.operator_address());
        let drain = std::pin::pin!(router.wait_for_drain());
        let drain_signals = std::pin::pin!(drain_on_signal(signals, router.state()));
        match select(drain, drain_signals).await {
            Either::Left(((), _)) | Either::Right(((), _)) => {}
        }
        info!(log, "router stopped");
        ExitCode::SUCCESS
    })
}

/// Begins the drain on the first signal to stop; later ones change nothing. Never returns; the daemon exits when the drain has ended.
async fn drain_on_signal(mut signals: DaemonSignals, state: &RouterState) {
    loop {
        match signals.next().await {
            Ok(SignalKind::Stop) => state.begin_drain("signal"),
            Ok(SignalKind::Reload) => {
                info!(state.log, "reload asked for; the settings in use stay");
            }
            Err(error) => {
                crit!(state.log, "signals cannot be received"; "error" => %error);
                pending::<()>().await;
            }
        }
    }
}
