use bramleywind_types::Refusal;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Histogram buckets for the time to the first token, in seconds. The target is 1.6 s.
const FIRST_TOKEN_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Histogram buckets for the time to the end of the answer, in seconds.
const ANSWER_BUCKETS: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0];

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The caller was sent the complete answer.
    Complete,
    /// The caller was sent the recorded outcome of an earlier request with the same key.
    Replayed,
    /// The request was refused.
    Refused,
    /// The caller closed the connection before the answer was complete.
    CallerGone,
}

impl RequestOutcome {
    /// Returns the name of the outcome in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Replayed => "replayed",
            Self::Refused => "refused",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// The label of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The outcome of the request.
    pub outcome: &'static str,
}

/// The label of the refusal counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    /// The code of the refusal.
    pub code: String,
}

/// The labels of the store call counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabel {
    /// The kind of call.
    pub call: &'static str,
    /// The outcome of the call.
    pub outcome: &'static str,
}

/// The labels of the order counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabel {
    /// The kind of order.
    pub order: &'static str,
    /// The outcome of the order.
    pub outcome: &'static str,
}

/// The label of the peer gauge.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerLabel {
    /// The state of the peers.
    pub state: &'static str,
}

/// The metrics of a router, which `GET /metrics` returns in the OpenMetrics text format.
#[derive(Debug)]
pub struct RouterMetrics {
    /// Requests by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Refusals by code.
    pub refusals: Family<CodeLabel, Counter>,
    /// Tokens billed.
    pub tokens_billed: Counter,
    /// Tokens reported or delivered beyond a reservation, which were not billed.
    pub tokens_excess: Counter,
    /// Seconds to the first token.
    pub first_token: Histogram,
    /// Seconds to the end of the answer.
    pub whole_answer: Histogram,
    /// Attempts after the first one.
    pub retries: Counter,
    /// Retries after part of the answer was delivered.
    pub resumes: Counter,
    /// Chunks of abandoned attempts that were dropped.
    pub late_chunks: Counter,
    /// Store calls by kind and outcome.
    pub store_calls: Family<StoreLabel, Counter>,
    /// Orders to engines by kind and outcome.
    pub orders: Family<OrderLabel, Counter>,
    /// One while this router holds the order lease, zero otherwise.
    pub orders_holder: Gauge,
    /// Orders missing after the latest round.
    pub orders_missing: Gauge,
    /// Loaded models that the configuration does not ask for.
    pub orders_unexpected: Gauge,
    /// Engines whose inventory could not be read.
    pub orders_unreadable: Gauge,
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
        let excess_help = "Tokens reported or delivered beyond a reservation, not billed";
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
        registry.register(
            "late_chunks",
            "Chunks of abandoned attempts that were dropped",
            late_chunks.clone(),
        );
        let store_calls = Family::default();
        registry.register("store_calls", "Store calls by kind and outcome", store_calls.clone());
        let orders = Family::default();
        registry.register("orders", "Orders to engines by kind and outcome", orders.clone());
        let orders_holder = Gauge::default();
        let holder_help = "Whether this router holds the order lease";
        registry.register("orders_holder", holder_help, orders_holder.clone());
        let orders_missing = Gauge::default();
        let missing_help = "Orders missing after the latest round";
        registry.register("orders_missing", missing_help, orders_missing.clone());
        let orders_unexpected = Gauge::default();
        let unexpected_help = "Loaded models that the configuration does not ask for";
        registry.register("orders_unexpected_models", unexpected_help, orders_unexpected.clone());
        let orders_unreadable = Gauge::default();
        let unreadable_help = "Engines whose inventory could not be read";
        registry.register("orders_unreadable_engines", unreadable_help, orders_unreadable.clone());
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
            orders,
            orders_holder,
            orders_missing,
            orders_unexpected,
            orders_unreadable,
            peers,
            running,
            registry,
        }
    }
}

impl RouterMetrics {
    /// Counts a request by its outcome.
    pub fn record_request(&self, outcome: RequestOutcome) {
        self.requests.get_or_create(&OutcomeLabel { outcome: outcome.name() }).inc();
    }

    /// Counts a refusal by its code, and returns the name of the code.
    pub fn record_refusal(&self, refusal: &Refusal) -> String {
        // The code is a unit variant, which serializes to its name.
        let json = serde_json::to_value(refusal.code).unwrap_or_default();
        let label = CodeLabel { code: json.as_str().unwrap_or_default().to_owned() };
        self.refusals.get_or_create(&label).inc();
        label.code
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string is infallible.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
