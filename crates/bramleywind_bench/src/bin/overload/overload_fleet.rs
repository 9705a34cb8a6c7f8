use std::time::Duration;

use bramleywind_bench::{
    BenchError, BenchFleet, CallRecord, CallSummary, EngineProfile, LoadGenerator, LoadMode,
    PromptShape, PromptSource, bench_workspaces,
};
use bramleywind_harness::FleetPlan;
use serde_json::json;

/// Maximum number of requests that an engine runs at once.
const SLOTS: u32 = 8;

/// The generation speed of each engine, in tokens per second.
const ENGINE_TOKENS_PER_SECOND: [u32; 6] = [80, 60, 60, 40, 40, 30];

/// Duration of the capacity measurement, including its warm-up.
const CAPACITY_TIME: Duration = Duration::from_secs(12);

/// The beginning of the capacity measurement that is not counted.
const CAPACITY_WARM_UP: Duration = Duration::from_secs(4);

/// Prepaid tokens of each workspace: more than a run can spend.
const PREPAID_TOKENS: u64 = 1_000_000_000;

/// Returns a shape with short prompts, for which caches matter little, and answers of 40 tokens on average.
pub(crate) fn prompt_shape() -> PromptShape {
    PromptShape {
        prefixes: 32,
        skew: 1.0,
        prefix_words: 200,
        own_words: 16,
        answer_tokens: (20, 60),
    }
}

/// Starts six routers and six engines of different speeds.
pub(crate) async fn start_fleet(deadline_ms: u64) -> Result<BenchFleet, BenchError> {
    let data_centres = ["akl-a", "akl-b", "akl-c"];
    let mut plan = FleetPlan::six_routers(data_centres);
    plan.router_settings = json!({ "limits": { "request_timeout_ms": deadline_ms } });
    let profile = |(index, speed): (usize, &u32)| EngineProfile {
        data_centre: data_centres[index % 3].into(),
        slots: SLOTS,
        tokens_per_second: *speed,
        prefill_tokens_per_second: speed * 50,
        arguments: ["--load-lag-ms", "500"].map(Into::into).into(),
    };
    let engines: Vec<_> = ENGINE_TOKENS_PER_SECOND.iter().enumerate().map(profile).collect();
    BenchFleet::start(plan, &engines, PREPAID_TOKENS).await
}

/// Measures the requests per second that the engines finish, without routers, when all slots are always in use.
pub(crate) fn measure_capacity(
    bench: &BenchFleet,
    seed: u64,
    threads: usize,
) -> Result<f64, BenchError> {
    let targets: Vec<_> = bench.fleet.endpoints.iter().map(|engine| engine.address).collect();
    let mut source = PromptSource::new(prompt_shape(), seed);
    let callers = targets.len() * SLOTS as usize;
    let calls: Vec<_> = (0..callers * 40)
        .map(|index| source.call(Duration::ZERO, index % targets.len(), bench_workspaces()[0]))
        .collect();
    let load = LoadGenerator { threads, targets };
    let records = load.run(&calls, LoadMode::Closed { callers, duration: CAPACITY_TIME })?;
    let is_in_window = |record: &&CallRecord| {
        let end = record.offset + Duration::from_secs_f64(record.total_ms / 1_000.0);
        end >= CAPACITY_WARM_UP && end < CAPACITY_TIME
    };
    let finished = CallSummary::of(records.iter().filter(is_in_window)).whole;
    Ok(finished as f64 / (CAPACITY_TIME - CAPACITY_WARM_UP).as_secs_f64())
}
