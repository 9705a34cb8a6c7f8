use std::time::Instant;

use compio::time::timeout;
use http_body_util::BodyExt;

use crate::crashes::RunProgress;

use super::{CallFailure, EventScanner, FailureKind, ScannedEvents, exchange::Exchange};

/// Reader of the events that an endpoint sends for one request.
#[derive(Debug)]
pub(super) struct StreamSource {
    exchange: Exchange,
    scanner: EventScanner,
    /// The number of events of this run.
    events: u64,
    first_event_at: Option<Instant>,
}

impl StreamSource {
    pub(super) fn new(exchange: Exchange) -> Self {
        Self { exchange, scanner: EventScanner::default(), events: 0, first_event_at: None }
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

    /// Checks that the stream did not end within an event.
    fn check_end(&mut self) -> Result<Option<ScannedEvents>, CallFailure> {
        if self.scanner.take_pending().is_empty() {
            return Ok(None);
        }
        Err(CallFailure::new(FailureKind::ConnectionLost, "stream ended within an event"))
    }

    /// Returns the connection to the endpoint's pool. May be called only after the stream has ended completely.
    pub(super) fn recycle(self) {
        self.exchange.recycle();
    }
}
