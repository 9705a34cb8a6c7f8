use std::time::Instant;

use compio::time::timeout;
use http_body_util::BodyExt;

use crate::crashes::RunProgress;

use super::{
    CallFailure, EventScanner, FailureKind, RequestContext, ScannedEvents, exchange::Exchange,
};

/// The number of events that a stream may have besides one for each token: for its begin, its end and its usage.
const MAX_ADDITIONAL_EVENTS: u64 = 16;

/// Reader of the events that an endpoint sends for one request.
#[derive(Debug)]
pub(super) struct StreamSource {
    exchange: Exchange,
    scanner: EventScanner,
    /// The number of events of this run.
    events: u64,
    first_event_at: Option<Instant>,
    /// The number of events that the request may get; `None` if it does not tell how much it may generate.
    max_events: Option<u64>,
}

impl StreamSource {
    pub(super) fn new(exchange: Exchange, context: &RequestContext) -> Self {
        let output_limit = context.prompt.as_ref().map(|prompt| prompt.output_limit.0);
        Self {
            exchange,
            scanner: EventScanner::default(),
            events: 0,
            first_event_at: None,
            max_events: output_limit.map(|limit| limit.saturating_add(MAX_ADDITIONAL_EVENTS)),
        }
    }

    /// Returns whether a part of an event was returned whose rest has not arrived.
    pub(super) fn has_returned_part(&self) -> bool {
        self.scanner.has_forwarded_part()
    }

    pub(super) fn progress(&self) -> RunProgress {
        RunProgress::after_events(self.events)
    }

    /// Returns the time at which the endpoint began to answer. Later calls return `None`.
    pub(super) fn take_proof(&mut self) -> Option<Instant> {
        self.first_event_at.take()
    }

    pub(super) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Waits until `deadline` for the next complete events. Returns `None` at the end of a complete stream.
    pub(super) async fn next_events(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<ScannedEvents>, CallFailure> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let frame = match timeout(left, self.exchange.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    return Err(CallFailure::new(FailureKind::ConnectionLost, error));
                }
                Ok(None) => return self.check_end(),
                Err(_) => {
                    return Err(CallFailure::new(FailureKind::TimedOut, "no event in time"));
                }
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else { continue };
            self.exchange.guard.endpoint().record_activity(Instant::now());
            let events = self.scanner.push(&data);
            self.check_bounds(events.count)?;
            if events.count > 0 {
                let now = Instant::now();
                self.events += events.count;
                if self.events == events.count {
                    self.first_event_at = Some(now);
                }
                self.exchange.guard.record_first_answer(now);
            }
            if !events.bytes.is_empty() {
                return Ok(Some(events));
            }
        }
    }

    /// Checks that the endpoint does not send without end. `count` further events have arrived.
    fn check_bounds(&self, count: u64) -> Result<(), CallFailure> {
        let reason = if self.scanner.is_oversized() {
            "event is larger than 1 MiB"
        } else if self.max_events.is_some_and(|max| self.events + count > max) {
            "stream has more events than the request may generate"
        } else {
            return Ok(());
        };
        Err(CallFailure::new(FailureKind::MayHaveRun, reason))
    }

    /// Checks that the stream did not end within an event.
    fn check_end(&mut self) -> Result<Option<ScannedEvents>, CallFailure> {
        if self.scanner.take_pending().is_empty() && !self.scanner.has_forwarded_part() {
            return Ok(None);
        }
        Err(CallFailure::new(FailureKind::ConnectionLost, "stream ended within an event"))
    }

    /// Returns the connection to the endpoint's pool. May be called only after the stream has ended completely.
    pub(super) fn recycle(self) {
        self.exchange.recycle();
    }
}
