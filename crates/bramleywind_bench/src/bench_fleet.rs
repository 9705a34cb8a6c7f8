use bramleywind_harness::{FleetPlan, LocalFleet};
use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, WorkspaceSpec};

use crate::{BenchError, EngineTotals};

/// The name of the model that all engines of a benchmark serve.
pub const BENCH_MODEL: &str = "bench-model";

/// Maximum size of a request, in tokens.
const MAX_REQUEST_TOKENS: u32 = 65_536;

/// Returns the workspaces of a benchmark: a large one, which overloads the fleet in some benchmarks, and a
/// small one with little load.
pub fn bench_workspaces() -> [&'static str; 2] {
    ["large", "small"]
}

/// The location and the speed of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineProfile {
    /// The data centre in which the engine runs.
    pub data_centre: Box<str>,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Generation speed of a single request that runs alone, in tokens per second.
    pub tokens_per_second: u32,
    /// Speed at which a prompt is processed, in tokens per second.
    pub prefill_tokens_per_second: u32,
    /// Additional command-line arguments of the stand-in.
    pub arguments: Vec<Box<str>>,
}

/// A running fleet to which a configuration has been applied.
#[derive(Debug)]
pub struct BenchFleet {
    /// The processes of the fleet.
    pub fleet: LocalFleet,
}

impl BenchFleet {
    /// Adds the engines to the plan, starts all processes and applies a configuration in which each workspace
    /// has prepaid the given number of tokens.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError`] if a process does not start or the configuration is rejected.
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

    /// Returns the numbers of writes and reads that the store has served.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError`] if the store does not answer.
    pub async fn store_calls(&self) -> Result<[u64; 2], BenchError> {
        let counters = self.fleet.store_counters().await?;
        Ok(["writes", "reads"].map(|name| counters[name].as_u64().unwrap_or(0)))
    }

    /// Returns the totals of each engine, in the order of the endpoints.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError`] if an engine does not answer.
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
