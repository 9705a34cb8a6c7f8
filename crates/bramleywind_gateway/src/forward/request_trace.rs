use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::ResponseBody;
use bramleywind_types::{ConfigRevision, EndpointId, WorkspaceId};
use http::Response;
use slog::{Logger, info};

use super::{CallFailure, Refusal, RequestOutcome};
use crate::{
    crashes::{ProbeOutcome, RequestHash},
    metrics::GatewayMetrics,
    platform_api::WireCodec,
};

/// Trace of a request: the facts that explain its outcome, logged in one line when dropped.
#[derive(Debug)]
pub struct RequestTrace {
    log: Logger,
    metrics: Rc<GatewayMetrics>,
    open_requests: Rc<Cell<usize>>,
    arrival: Instant,
    /// The caller's id for this attempt.
    pub request_id: Box<str>,
    /// The name of the route.
    pub route: Option<Box<str>>,
    /// The revision of the configuration in force.
    pub revision: Option<ConfigRevision>,
    /// The workspace that is charged.
    pub workspace: Option<WorkspaceId>,
    /// The hash by which copies of the request are recognized, once its body was read.
    pub fingerprint: Option<RequestHash>,
    /// The ids of the parts that the prompt shares with other requests.
    pub parts: Box<str>,
    /// The load of the first endpoint when it was chosen.
    pub placement: Option<Box<str>>,
    /// Milliseconds from arrival until the last endpoint was chosen.
    pub chosen_ms: Option<u64>,
    /// Milliseconds from arrival until the request was written to the last endpoint.
    pub sent_ms: Option<u64>,
    /// The age of the list of endpoints at that time, in milliseconds.
    pub list_age_ms: Option<u64>,
    /// The endpoints that were called, in order.
    pub endpoints: Vec<EndpointId>,
    /// The status code of the response.
    pub status: Option<u16>,
    /// Milliseconds from arrival to the first piece of the response.
    pub first_piece_ms: Option<u64>,
    /// Number of events relayed to the caller.
    pub events: u64,
    /// The numbers of tokens reserved and charged.
    pub tokens: Option<(u64, u64)>,
    /// The outcome. It stays [`RequestOutcome::CallerGone`] if no other outcome is set before the trace is dropped.
    pub outcome: RequestOutcome,
}

impl RequestTrace {
    /// Creates the trace of a request that has just arrived, and counts the request as open until the trace is dropped.
    pub fn new(
        log: &Logger,
        metrics: &Rc<GatewayMetrics>,
        open_requests: &Rc<Cell<usize>>,
        arrival: Instant,
    ) -> Self {
        open_requests.set(open_requests.get() + 1);
        Self {
            log: log.clone(),
            metrics: Rc::clone(metrics),
            open_requests: Rc::clone(open_requests),
            arrival,
            request_id: "".into(),
            route: None,
            revision: None,
            workspace: None,
            fingerprint: None,
            parts: "".into(),
            placement: None,
            chosen_ms: None,
            sent_ms: None,
            list_age_ms: None,
            endpoints: Vec::new(),
            status: None,
            first_piece_ms: None,
            events: 0,
            tokens: None,
            outcome: RequestOutcome::CallerGone,
        }
    }

    /// The arrival time of the request.
    pub fn arrival(&self) -> Instant {
        self.arrival
    }

    /// Records the choice of an endpoint.
    pub fn record_choice(&mut self, endpoint: EndpointId) {
        self.chosen_ms = Some(self.elapsed_ms());
        self.sent_ms = None;
        self.endpoints.push(endpoint);
    }

    /// Records that the request is written to the chosen endpoint, and how old the list of endpoints is by then.
    pub fn record_sending(&mut self, list_age: Option<Duration>) {
        self.sent_ms = Some(self.elapsed_ms());
        self.list_age_ms = list_age.and_then(|age| u64::try_from(age.as_millis()).ok());
    }

    /// Records the time of the first piece of the response. Later calls have no effect.
    pub fn record_first_piece(&mut self) {
        if self.first_piece_ms.is_none() {
            self.first_piece_ms = Some(self.elapsed_ms());
        }
    }

    /// Logs and counts a failed call. `is_retried` tells whether the request is sent again.
    pub fn log_failure(&self, failure: &CallFailure, is_retried: bool) {
        let endpoint = self.endpoints.last().map(ToString::to_string).unwrap_or_default();
        self.metrics.record_call_failure(failure.kind);
        info!(self.log, "call failed"; "request" => &*self.request_id, "endpoint" => endpoint,
            "kind" => ?failure.kind, "reason" => &*failure.reason, "endpoint_state" => failure.probe.map(ProbeOutcome::name),
            "fingerprint" => self.fingerprint.map(|hash| hash.to_string()), "parts" => &*self.parts, "events" => self.events,
            "elapsed_ms" => self.elapsed_ms(), "sent_again" => is_retried);
    }

    /// Ends the request with a refusal, and returns the response to the caller.
    pub fn refuse<W: WireCodec>(mut self, refusal: Refusal) -> Response<ResponseBody> {
        self.status = Some(refusal.reason.status().as_u16());
        self.outcome = RequestOutcome::Refused(refusal.reason);
        refusal.into_response::<W>()
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.arrival.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
        self.metrics.record_request(self.outcome, self.arrival.elapsed(), self.first_piece_ms);
        let reason = match self.outcome {
            RequestOutcome::Refused(reason) => reason.name(),
            _ => "",
        };
        let endpoints: Vec<_> = self.endpoints.iter().map(EndpointId::as_str).collect();
        let (reserved, charged) = self.tokens.unwrap_or_default();
        info!(self.log, "request ended"; "request" => &*self.request_id,
            "outcome" => self.outcome.name(), "reason" => reason, "status" => self.status,
            "route" => self.route.as_deref(), "workspace" => self.workspace.as_ref().map(ToString::to_string),
            "fingerprint" => self.fingerprint.map(|hash| hash.to_string()), "parts" => &*self.parts,
            "endpoints" => endpoints.join(","), "placement" => self.placement.as_deref(),
            "chosen_ms" => self.chosen_ms, "sent_ms" => self.sent_ms, "list_age_ms" => self.list_age_ms,
            "revision" => self.revision.map(|revision| revision.0),
            "first_piece_ms" => self.first_piece_ms, "elapsed_ms" => self.elapsed_ms(),
            "events" => self.events, "tokens_set_aside" => reserved, "tokens_charged" => charged);
    }
}
