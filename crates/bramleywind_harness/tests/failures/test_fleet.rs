//! The fleet that the tests use, its configuration, and the calls that they make.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    time::Duration,
};

use bramleywind_config::ConfigDocument;
use bramleywind_harness::{CallResponse, FleetPlan, LocalFleet, ProcessSignal, SseResponse};
use bramleywind_operator::{EndpointSpec, Fleet, ModelSpec, ServiceSpec, WorkspaceSpec};
use http::StatusCode;
use serde_json::{Value, json};

pub const BUDGET: &str = "season";
pub const SMALL_BUDGET: &str = "trial";
pub const MODEL: &str = "weave";
pub const PREPAID_TOKENS: u64 = 1_000_000;
pub const SMALL_PREPAID_TOKENS: u64 = 3_000;

/// The target time for reclaiming the tokens that a dead router cannot have spent, if the store and the peers are
/// reachable.
pub const RECLAIM_LIMIT: Duration = Duration::from_secs(30);

/// The output limit of a request that is small enough for every budget of the tests.
pub const SHORT_OUTPUT_TOKENS: u32 = 20;

pub struct TestFleet {
    pub fleet: LocalFleet,
}

/// Runs a test on the runtime that the programs use.
pub fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

pub fn plan() -> FleetPlan {
    let engine = ["--model", MODEL, "--slots", "8", "--crash-marker", "crash-me"];
    let mut plan = FleetPlan::six_routers(["plateau", "almadies", "rufisque"])
        .engine("engine-1", "plateau", &engine)
        .engine("engine-2", "almadies", &engine)
        .engine("engine-3", "rufisque", &engine)
        .engine("engine-4", "plateau", &engine)
        .service("locker-1", "plateau")
        .service("locker-2", "almadies");
    plan.router_arguments = vec!["--allow-test-faults".to_owned()];
    plan
}

impl TestFleet {
    pub async fn start() -> Self {
        Self::start_with(plan()).await
    }

    pub async fn start_with(plan: FleetPlan) -> Self {
        let mut fleet = LocalFleet::start(plan).await.unwrap();
        let document = document(&fleet, PREPAID_TOKENS);
        fleet.apply(&document).await.unwrap();
        Self { fleet }
    }

    pub fn chat_url(&self, index: usize) -> String {
        format!("http://{}/v1/chat/completions", self.fleet.routers[index].caller_address)
    }

    pub fn unlock_url(&self, index: usize) -> String {
        format!("http://{}/services/lockers/unlock", self.fleet.routers[index].caller_address)
    }

    /// Makes a chat call without streaming.
    pub async fn chat(
        &self,
        index: usize,
        key: Option<&str>,
        content: &str,
        tokens: u32,
    ) -> CallResponse {
        let body = chat_body(content, tokens, false);
        let headers = headers("guides-key", key);
        let refs = header_refs(&headers);
        self.fleet.caller.post_json(&self.chat_url(index), &refs, &body).await.unwrap()
    }

    /// Makes a streamed chat call.
    pub async fn stream(
        &self,
        index: usize,
        key: Option<&str>,
        content: &str,
        tokens: u32,
        on_chunk: impl FnMut(usize),
    ) -> (StatusCode, SseResponse) {
        let body = chat_body(content, tokens, true);
        let headers = headers("guides-key", key);
        let refs = header_refs(&headers);
        let url = self.chat_url(index);
        self.fleet.caller.stream(&url, &refs, &body, on_chunk).await.unwrap()
    }

    /// Makes an unlock call, which is non-idempotent.
    pub async fn unlock(&self, index: usize, key: &str, bay: u32) -> CallResponse {
        let headers = headers("guides-key", Some(key));
        let refs = header_refs(&headers);
        let body = json!({ "bay": bay });
        self.fleet.caller.post_json(&self.unlock_url(index), &refs, &body).await.unwrap()
    }

    /// Returns how often the lockers executed calls with a key.
    pub async fn executions(&self, key: &str) -> u64 {
        let mut executions = 0;
        for endpoint in &self.fleet.endpoints {
            if endpoint.endpoint.as_str().starts_with("locker") {
                let url = format!("http://{}/control/executions", endpoint.address);
                let found = self.fleet.caller.get_json(&url, &[]).await.unwrap();
                executions += found["executions"][key].as_u64().unwrap_or(0);
            }
        }
        executions
    }

    /// Returns the statistics of an engine.
    pub async fn engine_stats(&self, engine: &str) -> Value {
        let endpoint =
            self.fleet.endpoints.iter().find(|found| found.endpoint.as_str() == engine).unwrap();
        let url = format!("http://{}/control/stats", endpoint.address);
        self.fleet.caller.get_json(&url, &[]).await.unwrap()
    }

    pub async fn set_store_faults(&self, faults: Value) {
        self.fleet.set_faults(self.fleet.store_address, &faults).await.unwrap();
    }
}

/// Returns the configuration of the tests, with a large budget that most of them use and a small one.
pub fn document(fleet: &LocalFleet, prepaid: u64) -> ConfigDocument {
    let endpoints = fleet.endpoints.iter().map(|running| {
        let id = running.endpoint.as_str();
        let spec = if id.starts_with("engine") {
            EndpointSpec::engine(id, [MODEL]).slots(8).checks_fencing()
        } else {
            EndpointSpec::service(id, "lockers").slots(8)
        };
        spec.placed_in(running.data_centre.as_str()).at(&running.address.to_string())
    });
    let lockers = ServiceSpec::new("lockers", 1)
        .non_idempotent_route("POST", "/unlock")
        .idempotent_route("GET", "/state");
    let workspace = WorkspaceSpec::new("guides")
        .budget(BUDGET, prepaid)
        .budget(SMALL_BUDGET, SMALL_PREPAID_TOKENS)
        .key("guides-key", BUDGET)
        .key("guides-trial-key", SMALL_BUDGET)
        .may_use_model(MODEL)
        .may_use_service("lockers");
    Fleet::new()
        .model(ModelSpec::new(MODEL, 4_096))
        .service(lockers)
        .workspace(workspace)
        .endpoints(endpoints)
        .build()
        .unwrap()
}

pub fn chat_body(content: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": MODEL, "stream": stream, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": content }],
    })
}

pub fn headers(bearer: &str, key: Option<&str>) -> Vec<(&'static str, String)> {
    let mut headers = vec![("authorization", format!("Bearer {bearer}"))];
    headers.extend(key.map(|key| ("idempotency-key", key.to_owned())));
    headers
}

/// Borrows the headers in the form that calls take.
pub fn header_refs<'headers>(
    headers: &'headers [(&'static str, String)],
) -> Vec<(&'headers str, &'headers str)> {
    headers.iter().map(|(name, value)| (*name, value.as_str())).collect()
}

/// Streams an answer through a router, and kills the router after at least ten chunks have arrived.
pub async fn stream_and_kill_router(
    test: &mut TestFleet,
    index: usize,
    key: Option<&str>,
    content: &str,
    tokens: u32,
) -> SseResponse {
    let url = test.chat_url(index);
    let headers = headers("guides-key", key);
    let refs = header_refs(&headers);
    let body = chat_body(content, tokens, true);
    let caller = test.fleet.caller.clone();
    let is_killed = Cell::new(false);
    let process = RefCell::new(&mut test.fleet.routers[index].process);
    let kill = |chunks: usize| {
        if chunks >= 10 && !is_killed.replace(true) {
            process.borrow_mut().signal(ProcessSignal::Kill);
        }
    };
    caller.stream(&url, &refs, &body, kill).await.unwrap().1
}

/// Returns the total tokens that the usage of an answer reports.
pub fn total_tokens(usage: &Value) -> u64 {
    let field = |name| usage[name].as_u64().unwrap_or(0);
    field("prompt_tokens") + field("completion_tokens")
}
