use std::time::Duration;

use bramleywind_bench::{
    ArrivalPlan, BenchError, CallSummary, LoadGenerator, LoadMode, PromptSource, ResultTable,
    TargetCheck, bench_workspaces, print_command,
};
use bramleywind_routing::PolicyKind;

use crate::{
    args::ComparisonArgs,
    deployment::{Deployment, prompt_shape},
    policy_result::PolicyResult,
};

/// Minimum improvement of prefix affinity over each other policy in the 95th percentile of the time to the
/// first token, in percent.
const GAIN_BOUND_PERCENT: f64 = 25.0;

/// Calls in this first part of a run are not counted: the caches fill, and the routers measure the engines.
const WARM_UP: Duration = Duration::from_secs(6);

#[allow(clippy::print_stdout, reason = "the measurements are the program's output")]
pub(crate) async fn run(args: &ComparisonArgs) -> Result<(), BenchError> {
    print_command();
    let mut table = ResultTable::new([
        "engines",
        "policy",
        "calls",
        "whole",
        "refused",
        "first p50 ms",
        "first p95 ms",
        "first p99 ms",
        "total p50 ms",
        "total p95 ms",
        "total p99 ms",
        "hit rate",
        "share max / min",
        "client lag p99 ms",
    ]);
    let mut checks = Vec::new();
    for &engines in &args.engines {
        let deployment = Deployment::new(engines);
        let capacity = match args.capacity {
            Some(capacity) => capacity,
            None => deployment.joint_capacity(args.seed, args.threads).await?,
        };
        let rate = capacity * f64::from(args.load_percent) / 100.0;
        println!("{engines} engines: joint capacity {capacity:.1} requests/s, load {rate:.1}");
        let mut results = Vec::new();
        for &policy in &args.policies {
            let result = run_policy(args, &deployment, policy, rate).await?;
            table.add(result.cells(engines));
            results.push(result);
        }
        add_target_checks(engines, &results, &mut checks);
    }
    println!();
    table.publish(args.csv.as_deref())?;
    TargetCheck::table(&checks).publish(None)
}

async fn run_policy(
    args: &ComparisonArgs,
    deployment: &Deployment,
    policy: PolicyKind,
    rate: f64,
) -> Result<PolicyResult, BenchError> {
    let bench = deployment.start(&policy.to_string()).await?;
    let routers = &bench.fleet.routers;
    let plan = ArrivalPlan {
        rates: vec![(bench_workspaces()[0].into(), rate)],
        duration: WARM_UP + Duration::from_secs(args.duration_s),
        weights: routers.iter().map(|router| router.plan.capacity).collect(),
    };
    // All policies receive the same calls, because the seed is the same.
    let calls = PromptSource::new(prompt_shape(), args.seed + 1).arrivals(&plan);
    let targets = routers.iter().map(|router| router.caller_address).collect();
    let load = LoadGenerator { threads: args.threads, targets };
    let generator = std::thread::spawn(move || load.run(&calls, LoadMode::Open));
    compio::time::sleep(WARM_UP).await;
    let before = bench.engine_totals().await?;
    let records = generator.join().expect("the load generator does not panic")?;
    let after = bench.engine_totals().await?;
    let summary = CallSummary::of(records.iter().filter(|record| record.offset >= WARM_UP));
    Ok(PolicyResult::new(policy, summary, (&before, &after), &deployment.capacity_shares()))
}

/// Adds the checks that compare prefix affinity with each other policy.
fn add_target_checks(engines: usize, results: &[PolicyResult], checks: &mut Vec<TargetCheck>) {
    let is_affinity = |result: &&PolicyResult| result.policy == PolicyKind::PrefixAffinity;
    let Some(affinity) = results.iter().find(is_affinity) else { return };
    for other in results.iter().filter(|result| !is_affinity(result)) {
        let [_, own_p95, own_p99] = affinity.summary.first_token_ms;
        let [_, p95, p99] = other.summary.first_token_ms;
        let policy = other.policy;
        let name = format!("{engines} engines: first token p95 below {policy}'s");
        let gain = (1.0 - own_p95 / p95) * 100.0;
        checks.push(TargetCheck::at_least(&name, GAIN_BOUND_PERCENT, gain, "%"));
        let name = format!("{engines} engines: first token p99 over {policy}'s");
        checks.push(TargetCheck::at_most(&name, 1.0, own_p99 / p99, "times"));
    }
}
