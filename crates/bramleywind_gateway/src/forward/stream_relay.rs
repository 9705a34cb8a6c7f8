use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_http::{AnswerBody, AnswerSender};
use bytes::Bytes;
use compio::time::timeout;
use http::Response;

use super::{
    CallFailure, RequestContext, RequestOutcome, RequestTrace, ScannedEvents,
    request_forwarder::RequestForwarder, stream_source::StreamSource,
};
use crate::{
    config::RouteKind, funds::Reservation, gateway::Gateway, platform_api::EventId,
    platform_api::Platform, platform_api::WireCodec,
};

/// Pieces of an answer that wait for a caller that reads slowly.
const PIECE_QUEUE: usize = 4;

/// The shortest pause after which a stream is taken for stalled. Engines pause for hundreds of milliseconds while they
/// read other prompts.
const SHORTEST_STALL: Duration = Duration::from_millis(1_500);

/// A pause of this many times the route's target is a stall.
const STALL_FACTOR: u32 = 5;

/// Passes a stream on to its caller, and goes on at another endpoint if one breaks off.
pub(super) struct StreamRelay<P: Platform> {
    pub gateway: Rc<Gateway<P>>,
    pub context: RequestContext,
    pub trace: RequestTrace,
    pub reservation: Option<Reservation>,
    pub attempts: RequestForwarder,
    pub source: StreamSource,
    pub last_id: Option<EventId>,
}

impl<P: Platform> StreamRelay<P> {
    /// The answer, which begins with the events that have already arrived. The rest is sent by a task.
    pub(super) fn into_response(mut self, first: ScannedEvents) -> Response<AnswerBody> {
        let head = &self.source.exchange().head;
        let mut response = Response::new(());
        *response.status_mut() = head.status;
        *response.headers_mut() = P::Wire::answer_headers(head);
        self.trace.status = Some(head.status.as_u16());
        self.trace.note_first_piece();
        let (sender, body) = AnswerBody::in_pieces(PIECE_QUEUE);
        let relay = compio::runtime::spawn(self.run(first, sender));
        response.map(|()| body.ending(relay))
    }

    async fn run(mut self, first: ScannedEvents, sender: AnswerSender) {
        let mut events = first;
        loop {
            self.count(&events);
            if !self.pass_on(events.bytes, &sender).await {
                return;
            }
            events = match self.next().await {
                Ok(Some(events)) => events,
                Ok(None) => break,
                Err(failure) => {
                    self.trace.log_failure(&failure, false);
                    self.trace.outcome = RequestOutcome::BrokenOff;
                    return;
                }
            };
        }
        sender.finish();
        self.trace.outcome = RequestOutcome::Answered;
        self.source.recycle();
    }

    /// Counts events as delivered before they are sent: what is on the way may arrive.
    fn count(&mut self, events: &ScannedEvents) {
        self.trace.events += events.count;
        self.last_id = events.last_id.or(self.last_id);
        if let (Some(reservation), Some(prompt)) = (&mut self.reservation, &self.context.prompt) {
            let output = self.trace.events * self.context.tokens_per_event;
            let used = prompt.prompt_tokens.0.saturating_add(output);
            reservation.charge(bramleywind_types::TokenCount(used));
            self.trace.tokens = Some((reservation.limit().0, reservation.used().0));
        }
    }

    /// False if the caller has gone, or does not read until the deadline. The connection breaks then, since the body is not
    /// finished.
    async fn pass_on(&mut self, bytes: Bytes, sender: &AnswerSender) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let left = self.context.deadline.saturating_duration_since(Instant::now());
        matches!(timeout(left, sender.send(bytes)).await, Ok(Ok(())))
    }

    /// The next events, from another endpoint if this one breaks off or stalls.
    async fn next(&mut self) -> Result<Option<ScannedEvents>, CallFailure> {
        loop {
            let now = Instant::now();
            let is_resumable = self.context.route.kind == RouteKind::ResumableStream;
            let stall = self.context.route.target_pause.map(|pause| pause * STALL_FACTOR);
            let stall = stall.unwrap_or_default().max(SHORTEST_STALL);
            let can_move = is_resumable && self.attempts.has_runs_left(&self.context);
            let patience = if can_move { now + stall } else { self.context.deadline };
            let deadline = patience.min(self.context.deadline);
            let failure = match self.source.next_events(deadline).await {
                Ok(events) => return Ok(events),
                Err(failure) => failure,
            };
            if !is_resumable {
                return Err(failure);
            }
            let resume_after = self.last_id.or(self.context.resume_after);
            let context = &self.context;
            self.source = self
                .attempts
                .resume(&self.gateway, context, &mut self.trace, failure, resume_after)
                .await?;
        }
    }
}
