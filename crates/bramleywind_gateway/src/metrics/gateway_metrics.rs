use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    crashes::CrashEffect,
    forward::{FailureKind, RequestOutcome},
};

/// Upper bounds of the latency buckets, in seconds. They range from below the targets of plain services (0.1 s) to the
/// longest streams (15 s).
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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CrashLabels {
    effect: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PermitLabels {
    outcome: &'static str,
}

/// Holds the metrics of the process.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    call_failures: Family<FailureLabels, Counter>,
    crashes: Family<CrashLabels, Counter>,
    permits: Family<PermitLabels, Counter>,
    first_piece: Histogram,
    duration: Histogram,
    /// Revision of the configuration in force.
    pub config_revision: Gauge,
    /// Number of endpoints that accept requests.
    pub open_endpoints: Gauge,
    /// Number of live gateways.
    pub members: Gauge,
    /// Age of the list of endpoints in milliseconds, set when the metrics are read.
    pub list_age_ms: Gauge,
    /// Age of the configuration in milliseconds, set when the metrics are read.
    pub config_age_ms: Gauge,
    /// Number of requests that are refused because they crash endpoints.
    pub refused_fingerprints: Gauge,
    /// Number of parts of prompts with which requests are refused.
    pub refused_parts: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bramleywind_gateway");
        let requests = Family::<OutcomeLabels, Counter>::default();
        registry.register("requests", "Finished requests by outcome", requests.clone());
        let call_failures = Family::<FailureLabels, Counter>::default();
        let help = "Calls to endpoints that failed or returned no usable response";
        registry.register("call_failures", help, call_failures.clone());
        let crashes = Family::<CrashLabels, Counter>::default();
        let help = "Requests that were in flight on an endpoint that ended, by what that changed";
        registry.register("crashes", help, crashes.clone());
        let permits = Family::<PermitLabels, Counter>::default();
        let help = "Requests for permits for endpoints that limit the rate of their requests";
        registry.register("permits", help, permits.clone());
        let first_piece = Histogram::new(LATENCY_BUCKETS);
        let help = "Seconds from arrival to the first piece of the response";
        registry.register("first_piece_seconds", help, first_piece.clone());
        let duration = Histogram::new(LATENCY_BUCKETS);
        registry.register(
            "duration_seconds",
            "Seconds from arrival to the end of the request",
            duration.clone(),
        );
        let config_revision = Gauge::default();
        registry.register(
            "config_revision",
            "Revision of the configuration in force",
            config_revision.clone(),
        );
        let open_endpoints = Gauge::default();
        registry.register(
            "open_endpoints",
            "Endpoints that accept requests",
            open_endpoints.clone(),
        );
        let members = Gauge::default();
        registry.register("members", "Live gateways", members.clone());
        let list_age_ms = Gauge::default();
        let help = "Milliseconds since the list of endpoints was known to be complete";
        registry.register("list_age_milliseconds", help, list_age_ms.clone());
        let config_age_ms = Gauge::default();
        let help = "Milliseconds since the configuration was known to be the newest";
        registry.register("config_age_milliseconds", help, config_age_ms.clone());
        let refused_fingerprints = Gauge::default();
        let help = "Requests that are refused because they crash endpoints";
        registry.register("refused_fingerprints", help, refused_fingerprints.clone());
        let refused_parts = Gauge::default();
        let help = "Parts of prompts that are refused because they crash endpoints";
        registry.register("refused_parts", help, refused_parts.clone());
        Self {
            registry,
            requests,
            call_failures,
            crashes,
            permits,
            first_piece,
            duration,
            config_revision,
            open_endpoints,
            members,
            list_age_ms,
            config_age_ms,
            refused_fingerprints,
            refused_parts,
        }
    }
}

impl GatewayMetrics {
    /// Records a finished request.
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

    /// Records a failed call to an endpoint.
    pub fn record_call_failure(&self, kind: FailureKind) {
        let kind = match kind {
            FailureKind::NotSent => "not sent",
            FailureKind::Left => "left",
            FailureKind::Declined => "declined",
            FailureKind::Replaced => "replaced",
            FailureKind::ConnectionLost => "connection lost",
            FailureKind::MayHaveRun => "may have run",
            FailureKind::TimedOut => "timed out",
        };
        self.call_failures.get_or_create(&FailureLabels { kind }).inc();
    }

    /// Records that a request was in flight on an endpoint that ended.
    pub fn record_crash(&self, effect: CrashEffect) {
        let effect = match effect {
            CrashEffect::Harmless => "harmless",
            CrashEffect::Suspected => "suspected",
            CrashEffect::Refused => "refused",
            CrashEffect::RefusedBefore => "refused before",
        };
        self.crashes.get_or_create(&CrashLabels { effect }).inc();
    }

    /// Records whether there was a permit for a request to an endpoint that limits its requests.
    pub fn record_permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&PermitLabels { outcome }).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            // Writing to a string cannot fail, so the error comes from encoding a metric.
            Err(error) => format!("# metrics cannot be encoded: {error}\n"),
        }
    }
}
