use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{BodySender, ResponseBody};
use bytes::Bytes;
use compio::time::timeout;
use http::Response;

use super::{
    CallFailure, FailureKind, RequestContext, RequestOutcome, RequestTrace, ScannedEvents,
    request_forwarder::{RequestForwarder, confirm_end, examine_endpoint, update_health},
    stream_source::StreamSource,
};
use crate::{
    config::RouteKind, crashes::RunProgress, funds::Reservation, gateway::Gateway,
    platform_api::EventId, platform_api::Platform, platform_api::WireCodec,
};

/// Number of response pieces buffered for a caller that reads slowly.
const PIECE_QUEUE_LENGTH: usize = 4;

/// Shortest pause after which a stream counts as stalled. Engines pause for hundreds of milliseconds while they prefill
/// other prompts.
const MIN_STALL_TIME: Duration = Duration::from_millis(1_500);

/// A stream counts as stalled after a pause of this many times the route's target pause.
const STALL_TIME_FACTOR: u32 = 5;

/// Relay of a stream to its caller, which resumes the stream at another endpoint if one breaks off or stalls.
pub(super) struct StreamRelay<P: Platform> {
    pub gateway: Rc<Gateway<P>>,
    pub context: RequestContext,
    pub trace: RequestTrace,
    pub reservation: Option<Reservation>,
    pub forwarder: RequestForwarder,
    pub source: StreamSource,
    pub last_id: Option<EventId>,
}

impl<P: Platform> StreamRelay<P> {
    /// Builds the response, which starts with the events that have already arrived. A task relays the rest.
    pub(super) fn into_response(mut self, first: ScannedEvents) -> Response<ResponseBody> {
        let head = &self.source.exchange().head;
        let mut response = Response::new(());
        *response.status_mut() = head.status;
        *response.headers_mut() = P::Wire::answer_headers(head);
        self.trace.status = Some(head.status.as_u16());
        self.trace.record_first_piece();
        let (sender, body) = ResponseBody::streamed(PIECE_QUEUE_LENGTH);
        let relay = compio::runtime::spawn(self.run(first, sender));
        response.map(|()| body.with_relay_task(relay))
    }

    /// Relays events until the stream ends, fails, or the caller is gone, and records the outcome in the trace.
    async fn run(mut self, first: ScannedEvents, sender: BodySender) {
        let mut events = first;
        loop {
            self.record_delivery(&events);
            if self.source.progress() == RunProgress::Established {
                self.record_proof();
            }
            if !self.send_to_caller(events.bytes, &sender).await {
                return;
            }
            events = match self.next_or_resume().await {
                Ok(Some(events)) => events,
                Ok(None) => break,
                Err(failure) => {
                    self.trace.log_failure(&failure, false);
                    self.trace.outcome = RequestOutcome::BrokenOff;
                    return;
                }
            };
        }
        self.gateway.record_answer(&self.context.fingerprint);
        self.record_proof();
        sender.finish();
        self.trace.outcome = RequestOutcome::Answered;
        self.source.recycle();
    }

    async fn confirm_end(&self) -> Result<(), CallFailure> {
        let endpoint = self.source.exchange().guard.endpoint();
        confirm_end(&self.gateway, &self.context, endpoint, self.source.progress()).await
    }

    /// Records that the endpoint went on answering, once for each run.
    fn record_proof(&mut self) {
        if let Some(begun_at) = self.source.take_proof() {
            self.gateway.record_part_proof(&self.context.shared_parts, begun_at);
        }
    }

    /// Records events as delivered and charges their tokens. Called before they are sent, since events in transit may
    /// still arrive.
    fn record_delivery(&mut self, events: &ScannedEvents) {
        self.trace.events += events.count;
        self.last_id = events.last_id.or(self.last_id);
        if let (Some(reservation), Some(prompt)) = (&mut self.reservation, &self.context.prompt) {
            let output = self.trace.events * self.context.tokens_per_event;
            let used = prompt.prompt_tokens.0.saturating_add(output);
            reservation.charge(bramleywind_types::TokenCount(used));
            self.trace.tokens = Some((reservation.limit().0, reservation.used().0));
        }
    }

    /// Sends bytes to the caller. Returns false if the caller is gone or does not read them before the deadline;
    /// dropping the unfinished body then closes the connection.
    async fn send_to_caller(&mut self, bytes: Bytes, sender: &BodySender) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let left = self.context.deadline.saturating_duration_since(Instant::now());
        matches!(timeout(left, sender.send(bytes)).await, Ok(Ok(())))
    }

    /// Returns the next events. Resumes the stream at another endpoint if this one breaks off or stalls.
    async fn next_or_resume(&mut self) -> Result<Option<ScannedEvents>, CallFailure> {
        loop {
            let now = Instant::now();
            // Another engine cannot go on within an event.
            let is_resumable = self.context.route.kind == RouteKind::ResumableStream
                && !self.source.has_returned_part();
            let stall_time = self.context.route.target_pause.map(|pause| pause * STALL_TIME_FACTOR);
            let stall_time = stall_time.unwrap_or_default().max(MIN_STALL_TIME);
            let is_movable = is_resumable && self.forwarder.has_attempts_left(&self.context);
            let stall_deadline = if is_movable { now + stall_time } else { self.context.deadline };
            let deadline = stall_deadline.min(self.context.deadline);
            let mut failure = match self.source.next_events(deadline).await {
                Ok(None) if !self.source.exchange().is_delimited() => {
                    match self.confirm_end().await {
                        Ok(()) => return Ok(None),
                        Err(failure) => failure,
                    }
                }
                Ok(events) => return Ok(events),
                Err(failure) => failure,
            };
            let endpoint = Rc::clone(self.source.exchange().guard.endpoint());
            if failure.kind == FailureKind::MayHaveRun {
                update_health(&endpoint, failure.kind, Instant::now());
            }
            let progress = self.source.progress();
            examine_endpoint(&self.gateway, &self.context, &endpoint, progress, &mut failure).await;
            // The piece that failed may have been the first one of an event that was returned in part.
            if !is_resumable || self.source.has_returned_part() {
                return Err(failure);
            }
            let resume_after = self.last_id.or(self.context.resume_after);
            let context = &self.context;
            self.source = self
                .forwarder
                .resume(&self.gateway, context, &mut self.trace, failure, resume_after)
                .await?;
        }
    }
}
