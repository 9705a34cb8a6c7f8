use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bramleywind_bench::{
    ArrivalPlan, BenchError, BenchFleet, CallRecord, CallSummary, EngineProfile, LoadGenerator,
    LoadMode, ProcessUsage, PromptShape, PromptSource, ResultTable, TargetCheck, bench_workspaces,
    print_command,
};
use bramleywind_harness::FleetPlan;

use crate::args::OverheadArgs;

/// Maximum increase of the median time to the first token, in milliseconds.
const ADDED_FIRST_TOKEN_BOUND_MS: f64 = 1.0;
/// Maximum increase of the median time to the end of an answer, in percent.
const ADDED_TOTAL_BOUND_PERCENT: f64 = 10.0;
/// Maximum CPU usage of the router under the sustained load, in cores.
const CORES_BOUND: f64 = 2.0;
/// Maximum resident memory of an idle router, in megabytes.
const IDLE_MEMORY_BOUND_MB: f64 = 32.0;
/// Maximum number of store writes for each idempotent request in the steady state.
const STORE_WRITES_BOUND: f64 = 0.2;

/// Requests per second of the sustained load; with its answers, they make 38,000 tokens per second.
const SUSTAINED_REQUESTS_PER_SECOND: f64 = 100.0;

/// Length of each answer of the sustained load, in tokens.
const SUSTAINED_ANSWER_TOKENS: u32 = 380;

/// Length of each answer of the concurrent streams, in tokens.
const STREAM_ANSWER_TOKENS: u32 = 100;

/// Tokens per second that an engine generates for each stream.
const STREAM_TOKENS_PER_SECOND: u32 = 100;

/// Time for which the sustained load runs before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(6);

/// Returns a shape with prompts of 120 words, which an engine processes in 12 ms, and answers of `answer` tokens.
fn prompt_shape(answer: u32) -> PromptShape {
    PromptShape {
        prefixes: 16,
        skew: 1.0,
        prefix_words: 0,
        own_words: 120,
        answer_tokens: (answer, answer),
    }
}

pub(crate) async fn run(args: &OverheadArgs) -> Result<(), BenchError> {
    print_command();
    let bench = start_fleet(args).await?;
    let router = bench.fleet.routers[0].process.id();
    compio::time::sleep(Duration::from_secs(3)).await;
    let idle = ProcessUsage::of(router);
    let mut checks = vec![TargetCheck::at_most(
        "resident memory of the idle router",
        IDLE_MEMORY_BOUND_MB,
        idle.resident_mb,
        "MB",
    )];
    let mut table = ResultTable::new([
        "load",
        "calls",
        "whole",
        "lost",
        "late",
        "first p50 ms",
        "first p95 ms",
        "total p50 ms",
        "total p95 ms",
        "client lag p99 ms",
        "router cores",
        "client cores",
        "engine cores",
    ]);
    compare_streams(args, &bench, &mut table, &mut checks)?;
    run_sustained_load(args, &bench, &mut table, &mut checks).await?;
    table.publish(None)?;
    TargetCheck::table(&checks).publish(args.csv.as_deref())
}

async fn start_fleet(args: &OverheadArgs) -> Result<BenchFleet, BenchError> {
    let mut plan = FleetPlan::six_routers(["akl-a", "akl-b", "akl-c"]);
    plan.routers.truncate(1);
    let engine = EngineProfile {
        data_centre: "akl-a".into(),
        slots: 200,
        tokens_per_second: STREAM_TOKENS_PER_SECOND,
        prefill_tokens_per_second: 10_000,
        arguments: ["--slowdown-percent", "0"].map(Into::into).into(),
    };
    BenchFleet::start(plan, &vec![engine; args.engines as usize], args.prepaid_tokens).await
}

/// A sample of the resource usage of the router, the client and the engines, in this order.
struct UsageSample {
    taken_at: Instant,
    usages: [ProcessUsage; 3],
}

impl UsageSample {
    fn now(bench: &BenchFleet) -> Self {
        let engines = bench.fleet.endpoints.iter().map(|engine| engine.process.id());
        let processor_s = engines.map(|engine| ProcessUsage::of(engine).processor_s).sum();
        let engines = ProcessUsage { processor_s, ..ProcessUsage::default() };
        let router = ProcessUsage::of(bench.fleet.routers[0].process.id());
        let usages = [router, ProcessUsage::of(std::process::id()), engines];
        Self { taken_at: Instant::now(), usages }
    }

    /// Returns the CPU cores that the router, the client and the engines have used since an earlier sample.
    fn cores_since(&self, earlier: &Self) -> [f64; 3] {
        let elapsed_s = (self.taken_at - earlier.taken_at).as_secs_f64();
        [0, 1, 2].map(|index| self.usages[index].cores_since(&earlier.usages[index], elapsed_s))
    }
}

/// Adds a row with a summary of calls and the CPU cores of the router, the client and the engines.
fn add_row(table: &mut ResultTable, load: &str, summary: &CallSummary, cores: [f64; 3]) {
    let counts = [
        summary.calls.to_string(),
        summary.whole.to_string(),
        summary.lost_tokens.to_string(),
        summary.late_tokens.to_string(),
    ];
    let [first, total] = [summary.first_token_ms, summary.total_ms];
    let times = [first[0], first[1], total[0], total[1], summary.client_lag_ms];
    let cells = times.into_iter().chain(cores).map(|value| format!("{value:.2}"));
    table.add([load.to_owned()].into_iter().chain(counts).chain(cells));
}

/// Runs concurrent streams directly and through the router, and checks the added latency.
fn compare_streams(
    args: &OverheadArgs,
    bench: &BenchFleet,
    table: &mut ResultTable,
    checks: &mut Vec<TargetCheck>,
) -> Result<(), BenchError> {
    let engines: Vec<SocketAddr> =
        bench.fleet.endpoints.iter().map(|engine| engine.address).collect();
    let router = vec![bench.fleet.routers[0].caller_address; engines.len()];
    let mut source = PromptSource::new(prompt_shape(STREAM_ANSWER_TOKENS), args.seed);
    let calls: Vec<_> = (0..args.streams * 20)
        .map(|number| source.call(Duration::ZERO, number % engines.len(), bench_workspaces()[0]))
        .collect();
    let mode =
        LoadMode::Closed { callers: args.streams, duration: Duration::from_secs(args.round_s) };
    // The rounds alternate, so that a change in the machine's other load affects both kinds.
    let mut records: [Vec<CallRecord>; 2] = [Vec::new(), Vec::new()];
    let mut cores = [[0.0; 3]; 2];
    for _ in 0..args.rounds {
        for (path, targets) in [&engines, &router].into_iter().enumerate() {
            let before = UsageSample::now(bench);
            let load = LoadGenerator { threads: args.threads, targets: targets.clone() };
            records[path].extend(load.run(&calls, mode)?);
            let used = UsageSample::now(bench).cores_since(&before);
            for (sum, used) in cores[path].iter_mut().zip(used) {
                *sum += used / f64::from(args.rounds);
            }
        }
    }
    let [direct, routed] = [0, 1].map(|path| CallSummary::of(&records[path]));
    let streams = args.streams;
    add_row(table, &format!("{streams} streams, direct"), &direct, cores[0]);
    add_row(table, &format!("{streams} streams, routed"), &routed, cores[1]);
    let added = |index: usize| routed.first_token_ms[index] - direct.first_token_ms[index];
    let added_total = (routed.total_ms[0] / direct.total_ms[0] - 1.0) * 100.0;
    let name = "added first token, median";
    checks.push(TargetCheck::at_most(name, ADDED_FIRST_TOKEN_BOUND_MS, added(0), "ms"));
    checks.push(TargetCheck::without_bound("added first token, 95th percentile", added(1), "ms"));
    let name = "added total, median";
    checks.push(TargetCheck::at_most(name, ADDED_TOTAL_BOUND_PERCENT, added_total, "%"));
    let added_total = (routed.total_ms[1] / direct.total_ms[1] - 1.0) * 100.0;
    checks.push(TargetCheck::without_bound("added total, 95th percentile", added_total, "%"));
    Ok(())
}

/// Runs the sustained load through the router, and checks its CPU usage, answers and store calls.
async fn run_sustained_load(
    args: &OverheadArgs,
    bench: &BenchFleet,
    table: &mut ResultTable,
    checks: &mut Vec<TargetCheck>,
) -> Result<(), BenchError> {
    let plan = ArrivalPlan {
        rates: vec![(bench_workspaces()[0].into(), SUSTAINED_REQUESTS_PER_SECOND)],
        duration: WARM_UP + Duration::from_secs(args.sustained_s),
        weights: vec![1],
    };
    let calls =
        PromptSource::new(prompt_shape(SUSTAINED_ANSWER_TOKENS), args.seed + 1).arrivals(&plan);
    let load = LoadGenerator {
        threads: args.threads,
        targets: vec![bench.fleet.routers[0].caller_address],
    };
    let generator = std::thread::spawn(move || load.run(&calls, LoadMode::Open));
    compio::time::sleep(WARM_UP).await;
    let (before, counters) = (UsageSample::now(bench), bench.store_calls().await?);
    compio::time::sleep(Duration::from_secs(args.sustained_s)).await;
    let (after, end_counters) = (UsageSample::now(bench), bench.store_calls().await?);
    let records = generator.join().expect("the load generator does not panic")?;
    let steady: Vec<_> = records.iter().filter(|record| record.offset >= WARM_UP).collect();
    let summary = CallSummary::of(steady.iter().copied());
    let cores = after.cores_since(&before);
    add_row(table, "sustained, routed", &summary, cores);
    let requests = summary.calls as f64;
    let [writes, reads] =
        [0, 1].map(|kind| end_counters[kind].saturating_sub(counters[kind]) as f64 / requests);
    checks.push(TargetCheck::at_least(
        "offered load",
        SUSTAINED_REQUESTS_PER_SECOND * f64::from(SUSTAINED_ANSWER_TOKENS) * 0.95,
        summary.tokens as f64 / args.sustained_s as f64,
        "tokens/s",
    ));
    checks.push(TargetCheck::at_most("router's processor time", CORES_BOUND, cores[0], "cores"));
    let unfinished = (summary.calls - summary.whole) as f64;
    checks.push(TargetCheck::at_most("calls without a whole answer", 0.0, unfinished, "calls"));
    let lost = summary.lost_tokens as f64;
    checks.push(TargetCheck::at_most("lost chunks", 0.0, lost, "chunks"));
    let late = summary.late_tokens as f64;
    checks.push(TargetCheck::at_most("chunks later than 80 ms", 0.0, late, "chunks"));
    let name = "store writes for each request";
    checks.push(TargetCheck::at_most(name, STORE_WRITES_BOUND, writes, "calls"));
    checks.push(TargetCheck::without_bound("store reads for each request", reads, "calls"));
    let resident = after.usages[0].resident_mb;
    checks.push(TargetCheck::without_bound("resident memory under load", resident, "MB"));
    Ok(())
}
