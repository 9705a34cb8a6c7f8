use std::time::Duration;

use bramleywind_bench::{
    ArrivalPlan, BenchError, BenchFleet, CallRecord, LoadGenerator, LoadMode, PromptSource,
    ResultTable, TargetCheck, bench_workspaces, print_command,
};

use crate::{
    args::OverloadArgs,
    load_result::LoadResult,
    overload_fleet::{measure_capacity, prompt_shape, start_fleet},
};

/// Minimum useful throughput under the overload, in percent of its peak.
const USEFUL_BOUND_PERCENT: f64 = 95.0;

/// Maximum 95th percentile of the time until a refusal; a person does not notice a delay of this length.
const REFUSAL_P95_BOUND_MS: f64 = 100.0;

/// Minimum ratio of the 95th to the 5th percentile of the retry times; the router aims at a ratio of two.
const RETRY_SPREAD_BOUND: f64 = 1.5;

/// Maximum ratio of the small workspace's 95th percentile to the first token under the overload to that under
/// the first load.
const SMALL_LATENCY_BOUND: f64 = 1.5;

/// Load of the small workspace, in percent of the capacity.
const SMALL_LOAD_PERCENT: f64 = 5.0;

/// Calls in this first part of a run are not counted: the queues fill, and the routers measure the engines.
const WARM_UP: Duration = Duration::from_secs(5);

#[allow(clippy::print_stdout, reason = "the measurements are the program's output")]
pub(crate) async fn run(args: &OverloadArgs) -> Result<(), BenchError> {
    print_command();
    let bench = start_fleet(args.deadline_ms).await?;
    let capacity = match args.capacity {
        Some(capacity) => capacity,
        None => measure_capacity(&bench, args.seed, args.threads)?,
    };
    println!("capacity {capacity:.1} requests/s, deadline {} ms\n", args.deadline_ms);
    let mut table = ResultTable::new([
        "load %",
        "calls",
        "whole",
        "overdue",
        "refused",
        "broken",
        "useful tokens/s",
        "first p50 ms",
        "first p95 ms",
        "total p95 ms",
        "refusal p50 ms",
        "refusal p95 ms",
        "refusal max ms",
        "small first p95 ms",
        "small refused",
        "return ms",
    ]);
    let mut results = Vec::new();
    for &percent in &args.load_percents {
        let result = run_load(args, &bench, percent, capacity)?;
        table.add(result.cells());
        results.push(result);
    }
    table.publish(args.csv.as_deref())?;
    TargetCheck::table(&target_checks(&results)).publish(None)
}

fn run_load(
    args: &OverloadArgs,
    bench: &BenchFleet,
    percent: u32,
    capacity: f64,
) -> Result<LoadResult, BenchError> {
    let routers = &bench.fleet.routers;
    let duration = Duration::from_secs(args.duration_s);
    let [large, small] = bench_workspaces();
    let small_rate = capacity * SMALL_LOAD_PERCENT / 100.0;
    let plan = ArrivalPlan {
        rates: vec![
            (large.into(), capacity * f64::from(percent) / 100.0 - small_rate),
            (small.into(), small_rate),
        ],
        duration: WARM_UP + duration,
        weights: routers.iter().map(|router| router.plan.capacity).collect(),
    };
    let calls = PromptSource::new(prompt_shape(), args.seed + 1).arrivals(&plan);
    let targets = routers.iter().map(|router| router.caller_address).collect();
    let records = LoadGenerator { threads: args.threads, targets }.run(&calls, LoadMode::Open)?;
    let counted: Vec<&CallRecord> =
        records.iter().filter(|record| record.offset >= WARM_UP).collect();
    Ok(LoadResult::new(percent, &counted, args.deadline_ms, duration))
}

fn target_checks(results: &[LoadResult]) -> Vec<TargetCheck> {
    let (Some(baseline), Some(overload)) = (results.first(), results.last()) else {
        return Vec::new();
    };
    let peak = results.iter().map(|result| result.useful_rate).fold(0.0, f64::max);
    let useful = overload.useful_rate / peak * 100.0;
    let spread = overload.retry_after_ms_range[1] / overload.retry_after_ms_range[0].max(1.0);
    let small = overload.small_first_token_ms / baseline.small_first_token_ms;
    let name = format!("useful work at {} % load, of its peak", overload.percent);
    let without_retry_after = overload.without_retry_after as f64;
    vec![
        TargetCheck::at_least(&name, USEFUL_BOUND_PERCENT, useful, "%"),
        TargetCheck::at_most("refusal, p95", REFUSAL_P95_BOUND_MS, overload.refusal_ms[1], "ms"),
        TargetCheck::at_least("return times, p95 / p5", RETRY_SPREAD_BOUND, spread, "times"),
        TargetCheck::at_most("refusals without a return time", 0.0, without_retry_after, "calls"),
        TargetCheck::at_most("broken answers", 0.0, overload.broken as f64, "calls"),
        TargetCheck::at_most(
            "small workspace's first token p95, over calm",
            SMALL_LATENCY_BOUND,
            small,
            "times",
        ),
        TargetCheck::at_most(
            "small workspace's refusals",
            0.0,
            overload.small_refused as f64,
            "calls",
        ),
    ]
}
