use bramleywind_types::Refusal;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// First-token times, in seconds; the target is 1.6 s.
const FIRST_TOKEN_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Whole-answer times, in seconds.
const ANSWER_BUCKETS: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0];

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The caller was sent the whole answer.
    Complete,
    /// The caller was sent the recorded outcome of an earlier copy.
    Replayed,
    /// The request was refused.
    Refused,
    /// The caller went away.
    CallerGone,
}

impl RequestOutcome {
    /// The outcome's name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Replayed => "replayed",
            Self::Refused => "refused",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// The label of request counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// How the request ended.
    pub outcome: &'static str,
}

/// The label of refusal counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    /// The refusal's code.
    pub code: String,
}

/// The labels of store call counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabel {
    /// The kind of call.
    pub call: &'static str,
    /// What it came to.
    pub outcome: &'static str,
}

/// The label of the peer gauge.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerLabel {
    /// The peers' state.
    pub state: &'static str,
}

/// The counters of a router, in the Prometheus text format at `GET /metrics`.
#[derive(Debug)]
pub struct RouterMetrics {
    /// Requests by how they ended.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Refusals by code.
    pub refusals: Family<CodeLabel, Counter>,
    /// Tokens billed.
    pub tokens_billed: Counter,
    /// Reported tokens beyond a reservation, which were not billed.
    pub tokens_excess: Counter,
    /// Seconds to the first token.
    pub first_token: Histogram,
    /// Seconds to the end of the answer.
    pub whole_answer: Histogram,
    /// Attempts after the first one.
    pub retries: Counter,
    /// Retries after part of the answer was delivered.
    pub resumes: Counter,
    /// Pieces of abandoned attempts that were dropped.
    pub late_chunks: Counter,
    /// Store calls.
    pub store_calls: Family<StoreLabel, Counter>,
    /// Peers by state.
    pub peers: Family<PeerLabel, Gauge>,
    /// Requests that are running.
    pub running: Gauge,
    registry: Registry,
}

impl Default for RouterMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bramleywind");
        let requests = Family::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        let refusals = Family::default();
        registry.register("refusals", "Refusals by code", refusals.clone());
        let tokens_billed = Counter::default();
        registry.register("tokens_billed", "Tokens billed", tokens_billed.clone());
        let tokens_excess = Counter::default();
        let excess_help = "Reported tokens beyond a reservation, not billed";
        registry.register("tokens_excess", excess_help, tokens_excess.clone());
        let first_token = Histogram::new(FIRST_TOKEN_BUCKETS);
        registry.register("first_token_seconds", "Time to the first token", first_token.clone());
        let whole_answer = Histogram::new(ANSWER_BUCKETS);
        registry.register("answer_seconds", "Time to the end of the answer", whole_answer.clone());
        let retries = Counter::default();
        registry.register("retries", "Attempts after the first", retries.clone());
        let resumes = Counter::default();
        registry.register("resumes", "Attempts that resumed an answer", resumes.clone());
        let late_chunks = Counter::default();
        registry.register("late_chunks", "Late pieces that were dropped", late_chunks.clone());
        let store_calls = Family::default();
        registry.register("store_calls", "Store calls by kind and outcome", store_calls.clone());
        let peers = Family::default();
        registry.register("peers", "Peers by state", peers.clone());
        let running = Gauge::default();
        registry.register("running_requests", "Requests that are running", running.clone());
        Self {
            requests,
            refusals,
            tokens_billed,
            tokens_excess,
            first_token,
            whole_answer,
            retries,
            resumes,
            late_chunks,
            store_calls,
            peers,
            running,
            registry,
        }
    }
}

impl RouterMetrics {
    /// Counts a request that has ended.
    pub fn record_request(&self, outcome: RequestOutcome) {
        self.requests.get_or_create(&OutcomeLabel { outcome: outcome.name() }).inc();
    }

    /// Counts a refusal, and returns its code's name.
    pub fn record_refusal(&self, refusal: &Refusal) -> String {
        // The code is a unit variant, whose JSON is its name.
        let json = serde_json::to_value(refusal.code).unwrap_or_default();
        let label = CodeLabel { code: json.as_str().unwrap_or_default().to_owned() };
        self.refusals.get_or_create(&label).inc();
        label.code
    }

    /// All metrics in the text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
