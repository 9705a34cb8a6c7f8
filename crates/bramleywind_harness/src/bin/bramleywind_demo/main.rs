//! Demonstrates the guarantees of the fleet on loopback, with the programs that users run.

mod demo_steps;
mod guarantee_report;

use std::process::ExitCode;

use bramleywind_harness::FleetError;
use demo_steps::DemoSteps;
use guarantee_report::GuaranteeReport;

#[allow(clippy::print_stderr, reason = "the demo prints to a terminal")]
fn main() -> ExitCode {
    let run = || compio::runtime::Runtime::new().map(|runtime| runtime.block_on(run_demo()));
    match run() {
        Ok(Ok(report)) => report.print(),
        Ok(Err(error)) => {
            eprintln!("the demo failed: {error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_demo() -> Result<GuaranteeReport, FleetError> {
    let mut report = GuaranteeReport::default();
    let mut steps = DemoSteps::start().await?;
    steps.configure().await?;
    steps.streamed_call(&mut report).await?;
    steps.order_twice(&mut report).await?;
    steps.call_past_budget(&mut report).await?;
    steps.kill_router(&mut report).await?;
    steps.drain_router(&mut report).await?;
    steps.show_balances(&mut report).await?;
    Ok(report)
}
