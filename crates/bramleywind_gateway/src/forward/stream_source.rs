use std::time::Instant;

use compio::time::timeout;
use http_body_util::BodyExt;

use super::{CallFailure, EventScanner, FailureKind, ScannedEvents, exchange::Exchange};

/// The events that an endpoint sends for one request.
#[derive(Debug)]
pub(super) struct StreamSource {
    exchange: Exchange,
    scanner: EventScanner,
}

impl StreamSource {
    pub(super) fn new(exchange: Exchange) -> Self {
        Self { exchange, scanner: EventScanner::default() }
    }

    pub(super) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// The next whole events; nothing at the end of a complete stream.
    pub(super) async fn next_events(
        &mut self,
        patience: Instant,
    ) -> Result<Option<ScannedEvents>, CallFailure> {
        loop {
            let left = patience.saturating_duration_since(Instant::now());
            let frame = match timeout(left, self.exchange.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    return Err(CallFailure::new(FailureKind::MayHaveRun, error));
                }
                Ok(None) => return self.end(),
                Err(_) => {
                    return Err(CallFailure::new(FailureKind::TimedOut, "no event in time"));
                }
            };
            // Trailers carry nothing that is passed on.
            let Ok(data) = frame.into_data() else { continue };
            let events = self.scanner.push(&data);
            if events.count > 0 {
                self.exchange.work.note_answer(Instant::now());
            }
            if !events.bytes.is_empty() {
                return Ok(Some(events));
            }
        }
    }

    fn end(&mut self) -> Result<Option<ScannedEvents>, CallFailure> {
        if self.scanner.take_pending().is_empty() {
            return Ok(None);
        }
        Err(CallFailure::new(FailureKind::MayHaveRun, "the stream ended within an event"))
    }

    /// Keeps the connection for other requests. Only for a stream that has ended as complete.
    pub(super) fn recycle(self) {
        self.exchange.recycle();
    }
}
