use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::forward::{FailureKind, RequestOutcome};

/// Upper bounds of the latency buckets, in seconds. They cover the targets of plain services (0.1 s) up to the longest
/// streams (15 s).
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 15.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailureLabels {
    kind: &'static str,
}

/// What the process counts.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    call_failures: Family<FailureLabels, Counter>,
    first_piece: Histogram,
    duration: Histogram,
    /// The version of the configuration in force.
    pub config_revision: Gauge,
    /// Endpoints that take work.
    pub open_endpoints: Gauge,
    /// Gateways that are alive.
    pub members: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bramleywind_gateway");
        let requests = Family::<OutcomeLabels, Counter>::default();
        registry.register("requests", "Requests that ended, by outcome", requests.clone());
        let call_failures = Family::<FailureLabels, Counter>::default();
        let help = "Calls to endpoints that brought no usable answer";
        registry.register("call_failures", help, call_failures.clone());
        let first_piece = Histogram::new(LATENCY_BUCKETS);
        let help = "Seconds until the first piece of an answer";
        registry.register("first_piece_seconds", help, first_piece.clone());
        let duration = Histogram::new(LATENCY_BUCKETS);
        registry.register("duration_seconds", "Seconds until the end", duration.clone());
        let config_revision = Gauge::default();
        registry.register("config_revision", "The configuration in force", config_revision.clone());
        let open_endpoints = Gauge::default();
        registry.register("open_endpoints", "Endpoints that take work", open_endpoints.clone());
        let members = Gauge::default();
        registry.register("members", "Gateways that are alive", members.clone());
        Self {
            registry,
            requests,
            call_failures,
            first_piece,
            duration,
            config_revision,
            open_endpoints,
            members,
        }
    }
}

impl GatewayMetrics {
    /// Counts a request that ended.
    pub fn record_request(
        &self,
        outcome: RequestOutcome,
        duration: Duration,
        first_piece_ms: Option<u64>,
    ) {
        let reason = match outcome {
            RequestOutcome::Refused(reason) => reason.name(),
            _ => "",
        };
        let labels = OutcomeLabels { outcome: outcome.name(), reason };
        self.requests.get_or_create(&labels).inc();
        self.duration.observe(duration.as_secs_f64());
        if let Some(millis) = first_piece_ms {
            self.first_piece.observe(Duration::from_millis(millis).as_secs_f64());
        }
    }

    /// Counts a call that failed.
    pub fn record_call_failure(&self, kind: FailureKind) {
        let kind = match kind {
            FailureKind::NotSent => "not sent",
            FailureKind::Declined => "declined",
            FailureKind::Replaced => "replaced",
            FailureKind::MayHaveRun => "may have run",
            FailureKind::TimedOut => "timed out",
        };
        self.call_failures.get_or_create(&FailureLabels { kind }).inc();
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            // Writing to a string fails only if a metric refuses to be encoded.
            Err(error) => format!("# the metrics can't be encoded: {error}\n"),
        }
    }
}
