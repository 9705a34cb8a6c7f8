use std::{cell::Cell, rc::Rc, time::Instant};

use bramleywind_http::AnswerBody;
use bramleywind_types::{ConfigRevision, EndpointId, WorkspaceId};
use http::Response;
use slog::{Logger, info};

use super::{CallFailure, Refusal, RequestOutcome};
use crate::{metrics::GatewayMetrics, platform_api::WireCodec};

/// Collects what decided the fate of a request, and writes it as one log line when dropped.
#[derive(Debug)]
pub struct RequestTrace {
    log: Logger,
    metrics: Rc<GatewayMetrics>,
    open_requests: Rc<Cell<usize>>,
    arrival: Instant,
    /// The caller's id of the attempt.
    pub request_id: Box<str>,
    /// The route's name.
    pub route: Option<Box<str>>,
    /// The configuration that was in force.
    pub revision: Option<ConfigRevision>,
    /// The workspace that pays.
    pub workspace: Option<WorkspaceId>,
    /// What decided the choice of the first endpoint.
    pub placement: Option<Box<str>>,
    /// The endpoints that were called, in order.
    pub endpoints: Vec<EndpointId>,
    /// The status of the answer.
    pub status: Option<u16>,
    /// Milliseconds until the first piece of the answer.
    pub first_piece_ms: Option<u64>,
    /// Events that were passed on.
    pub events: u64,
    /// Tokens that were set aside and that were charged.
    pub tokens: Option<(u64, u64)>,
    /// How it ended. A request that nobody ended was left by its caller.
    pub outcome: RequestOutcome,
}

impl RequestTrace {
    /// A trace of a request that has just arrived.
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
            placement: None,
            endpoints: Vec::new(),
            status: None,
            first_piece_ms: None,
            events: 0,
            tokens: None,
            outcome: RequestOutcome::CallerGone,
        }
    }

    /// When the request arrived.
    pub fn arrival(&self) -> Instant {
        self.arrival
    }

    /// Notes that the answer has begun.
    pub fn note_first_piece(&mut self) {
        if self.first_piece_ms.is_none() {
            self.first_piece_ms = Some(self.elapsed_ms());
        }
    }

    /// Writes down a call that failed.
    pub fn log_failure(&self, failure: &CallFailure, is_repeated: bool) {
        let endpoint = self.endpoints.last().map(ToString::to_string).unwrap_or_default();
        self.metrics.record_call_failure(failure.kind);
        info!(self.log, "call failed"; "request" => &*self.request_id, "endpoint" => endpoint,
            "kind" => ?failure.kind, "reason" => &*failure.reason, "elapsed_ms" => self.elapsed_ms(),
            "sent_again" => is_repeated);
    }

    /// Ends the request with a refusal.
    pub fn refuse<W: WireCodec>(mut self, refusal: Refusal) -> Response<AnswerBody> {
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
        let (set_aside, charged) = self.tokens.unwrap_or_default();
        info!(self.log, "request ended"; "request" => &*self.request_id,
            "outcome" => self.outcome.name(), "reason" => reason, "status" => self.status,
            "route" => self.route.as_deref(), "workspace" => self.workspace.as_ref().map(ToString::to_string),
            "endpoints" => endpoints.join(","), "placement" => self.placement.as_deref(), "revision" => self.revision.map(|revision| revision.0),
            "first_piece_ms" => self.first_piece_ms, "elapsed_ms" => self.elapsed_ms(),
            "events" => self.events, "tokens_set_aside" => set_aside, "tokens_charged" => charged);
    }
}
