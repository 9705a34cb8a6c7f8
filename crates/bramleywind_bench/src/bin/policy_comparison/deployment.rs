use std::time::Duration;

use bramleywind_bench::{
    BenchError, BenchFleet, CallSummary, EngineProfile, LoadGenerator, LoadMode, PromptShape,
    PromptSource, bench_workspaces,
};
use bramleywind_harness::FleetPlan;

/// The speeds of the engines in percent of the base speed, repeated in this order.
const SPEED_PERCENT: [u32; 10] = [200, 150, 150, 100, 100, 100, 75, 75, 50, 50];

/// Base generation speed of a single request, in tokens per second.
const TOKENS_PER_SECOND: u32 = 60;

/// Base speed at which a prompt is processed, in tokens per second.
const PREFILL_TOKENS_PER_SECOND: u32 = 2_000;

/// Maximum number of requests that an engine runs at once.
const SLOTS: u32 = 8;

/// Duration of the capacity measurement, including its warm-up.
const CAPACITY_TIME: Duration = Duration::from_secs(12);

/// The beginning of the capacity measurement that is not counted.
const CAPACITY_WARM_UP: Duration = Duration::from_secs(4);

/// Prepaid tokens of each workspace: more than a run can spend.
const PREPAID_TOKENS: u64 = 1_000_000_000;

/// The data centres and the number of engines of one of the two users' deployments.
pub(crate) struct Deployment {
    data_centres: [&'static str; 3],
    engines: usize,
}

/// Returns a shape with 64 conversation histories of 512 words, each of which recurs with a new question of 32
/// words. About a fifth of all requests use the most popular history. The cache of an engine holds 16 of them.
pub(crate) fn prompt_shape() -> PromptShape {
    PromptShape {
        prefixes: 64,
        skew: 1.0,
        prefix_words: 512,
        own_words: 32,
        answer_tokens: (20, 60),
    }
}

impl Deployment {
    pub(crate) fn new(engines: usize) -> Self {
        let data_centres = if engines > 10 {
            ["plateau", "almadies", "rufisque"]
        } else {
            ["akl-a", "akl-b", "akl-c"]
        };
        Self { data_centres, engines }
    }

    /// Returns the engines. Their load reports and cache events are half a second old, and every seventh cache
    /// event is missing.
    fn engines(&self) -> Vec<EngineProfile> {
        let arguments = [
            "--cache-tokens",
            "8704",
            "--load-lag-ms",
            "500",
            "--cache-event-lag-ms",
            "500",
            "--cache-event-gap",
            "7",
        ];
        let speeds = SPEED_PERCENT.iter().cycle().take(self.engines);
        let profile = |(index, percent): (usize, &u32)| EngineProfile {
            data_centre: self.data_centres[index % 3].into(),
            slots: SLOTS,
            tokens_per_second: TOKENS_PER_SECOND * percent / 100,
            prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND * percent / 100,
            arguments: arguments.map(Into::into).into(),
        };
        speeds.enumerate().map(profile).collect()
    }

    /// Returns the share of each engine in the total capacity, according to its speed.
    pub(crate) fn capacity_shares(&self) -> Vec<f64> {
        let speeds: Vec<f64> = SPEED_PERCENT
            .iter()
            .cycle()
            .take(self.engines)
            .map(|speed| f64::from(*speed))
            .collect();
        let sum: f64 = speeds.iter().sum();
        speeds.into_iter().map(|speed| speed / sum).collect()
    }

    /// Starts the fleet with the given endpoint policy.
    pub(crate) async fn start(&self, policy: &str) -> Result<BenchFleet, BenchError> {
        let mut plan = FleetPlan::six_routers(self.data_centres);
        plan.endpoint_policy = policy.into();
        BenchFleet::start(plan, &self.engines(), PREPAID_TOKENS).await
    }

    /// Measures the requests per second that the engines finish, without routers, when all slots are always in use.
    pub(crate) async fn joint_capacity(
        &self,
        seed: u64,
        threads: usize,
    ) -> Result<f64, BenchError> {
        let bench = self.start("round_robin").await?;
        let targets: Vec<_> = bench.fleet.endpoints.iter().map(|engine| engine.address).collect();
        let mut source = PromptSource::new(prompt_shape(), seed);
        let callers = targets.len() * SLOTS as usize;
        let calls: Vec<_> = (0..callers * 40)
            .map(|index| source.call(Duration::ZERO, index % targets.len(), bench_workspaces()[0]))
            .collect();
        let load = LoadGenerator { threads, targets };
        let records = load.run(&calls, LoadMode::Closed { callers, duration: CAPACITY_TIME })?;
        let is_in_window = |record: &&bramleywind_bench::CallRecord| {
            let end = record.offset + Duration::from_secs_f64(record.total_ms / 1_000.0);
            end >= CAPACITY_WARM_UP && end < CAPACITY_TIME
        };
        let finished = CallSummary::of(records.iter().filter(is_in_window)).whole;
        Ok(finished as f64 / (CAPACITY_TIME - CAPACITY_WARM_UP).as_secs_f64())
    }
}
