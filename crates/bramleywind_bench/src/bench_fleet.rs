use bramleywind_harness::{FleetPlan, LocalFleet};
use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, WorkspaceSpec};

use crate::{BenchError, EngineTotals};

/// The model that all engines of a benchmark serve.
pub const BENCH_MODEL: &str = "bench-model";

/// The largest request, in tokens.
const MAX_REQUEST_TOKENS: u32 = 65_536;

/// The workspaces of a benchmark: one that floods in some of them, and one that stays small.
pub fn bench_workspaces() -> [&'static str; 2] {
    ["large", "small"]
}

/// One engine of a benchmark.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineProfile {
    /// Where it runs.
    pub data_centre: Box<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How fast one request that runs alone generates.
    pub tokens_per_second: u32,
    /// How fast a prompt is read.
    pub prefill_tokens_per_second: u32,
    /// Further arguments of the stand-in.
    pub arguments: Vec<Box<str>>,
}

/// A fleet with its configuration in force.
#[derive(Debug)]
pub struct BenchFleet {
    /// The processes.
    pub fleet: LocalFleet,
}

impl BenchFleet {
    /// Adds the engines to the plan, starts all processes and applies a configuration, in which each
    /// workspace has paid in the given tokens.
    ///
    /// # Errors
    ///
    /// [`BenchError`] if a process does not start or the configuration is refused.
    pub async fn start(
        mut plan: FleetPlan,
        engines: &[EngineProfile],
        prepaid_tokens: u64,
    ) -> Result<Self, BenchError> {
        for (number, engine) in (1..).zip(engines) {
            let slots = engine.slots.to_string();
            let speed = engine.tokens_per_second.to_string();
            let prefill = engine.prefill_tokens_per_second.to_string();
            let mut arguments = vec!["--model", BENCH_MODEL, "--slots", &slots];
            arguments.extend(["--tokens-per-second", &speed]);
            arguments.extend(["--prefill-tokens-per-second", &prefill]);
            arguments.extend(engine.arguments.iter().map(|argument| &**argument));
            plan = plan.engine(&format!("engine-{number}"), &engine.data_centre, &arguments);
        }
        let mut fleet = LocalFleet::start(plan).await?;
        let endpoints = fleet.endpoints.iter().zip(engines).map(|(endpoint, engine)| {
            EndpointSpec::engine(endpoint.endpoint.as_str(), [BENCH_MODEL])
                .slots(engine.slots)
                .placed_in(&engine.data_centre)
                .at(&endpoint.address.to_string())
        });
        let workspace = |name: &str| {
            let budget = format!("{name}-budget");
            WorkspaceSpec::new(name)
                .budget(&budget, prepaid_tokens)
                .key(&format!("{name}-bench-key"), &budget)
                .may_use_model(BENCH_MODEL)
        };
        let document = Fleet::new()
            .model(ModelSpec::new(BENCH_MODEL, MAX_REQUEST_TOKENS))
            .workspaces(bench_workspaces().map(workspace))
            .endpoints(endpoints)
            .build()?;
        fleet.apply(&document).await?;
        Ok(Self { fleet })
    }

    /// The writes and reads that the store has served.
    ///
    /// # Errors
    ///
    /// [`BenchError`] if the store does not answer.
    pub async fn store_calls(&self) -> Result<[u64; 2], BenchError> {
        let counters = self.fleet.store_counters().await?;
        Ok(["writes", "reads"].map(|name| counters[name].as_u64().unwrap_or(0)))
    }

    /// The totals of each engine.
    ///
    /// # Errors
    ///
    /// [`BenchError`] if an engine does not answer.
    pub async fn engine_totals(&self) -> Result<Vec<EngineTotals>, BenchError> {
        let mut totals = Vec::new();
        for endpoint in &self.fleet.endpoints {
            let url = format!("http://{}/control/stats", endpoint.address);
            let stats = self.fleet.caller.get_json(&url, &[]).await?;
            let field = |name: &str| stats[name].as_u64().unwrap_or(0);
            totals.push(EngineTotals {
                started: field("requests_started"),
                finished: field("requests_finished"),
                prefix_hits: field("prefix_hits"),
            });
        }
        Ok(totals)
    }
}
