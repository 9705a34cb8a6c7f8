//! Shows on loopback what the fleet promises, with the programs that users run.

mod demo_steps;
mod promise_list;

use std::process::ExitCode;

use bramleywind_harness::FleetError;
use demo_steps::DemoSteps;
use promise_list::PromiseList;

#[allow(clippy::print_stderr, reason = "the demo talks to a person at a terminal")]
fn main() -> ExitCode {
    let run = || compio::runtime::Runtime::new().map(|runtime| runtime.block_on(show()));
    match run() {
        Ok(Ok(promises)) => promises.report(),
        Ok(Err(error)) => {
            eprintln!("the demo could not go on: {error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn show() -> Result<PromiseList, FleetError> {
    let mut promises = PromiseList::default();
    let mut steps = DemoSteps::start().await?;
    steps.configure().await?;
    steps.streamed_call(&mut promises).await?;
    steps.order_twice(&mut promises).await?;
    steps.call_past_budget(&mut promises).await?;
    steps.kill_router(&mut promises).await?;
    steps.drain_router(&mut promises).await?;
    steps.show_balances(&mut promises).await?;
    Ok(promises)
}
