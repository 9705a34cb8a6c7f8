use std::{rc::Rc, time::Instant};

use super::Endpoint;

/// Thousands of tokens that every request costs besides its prompt: the round trip and the step that it joins. An endpoint's
/// pace is measured with them, and times are predicted with them.
pub const REQUEST_OVERHEAD_KILOTOKENS: f64 = 0.5;

/// Counts a request at its endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    endpoint: Rc<Endpoint>,
    prompt_tokens: Option<u64>,
    sent_at: Instant,
    /// Thousands of tokens that the endpoint had to read before it could answer.
    kilotokens: f64,
    is_answered: bool,
}

impl InFlightGuard {
    pub(super) fn new(endpoint: Rc<Endpoint>, prompt_tokens: Option<u64>, now: Instant) -> Self {
        let tokens = prompt_tokens.unwrap_or(0);
        endpoint.in_flight.set(endpoint.in_flight.get() + 1);
        endpoint.backlog_tokens.set(endpoint.backlog_tokens.get() + tokens);
        let kilotokens = match prompt_tokens {
            Some(_) => endpoint.backlog_tokens.get() as f64 / 1_000.0 + REQUEST_OVERHEAD_KILOTOKENS,
            None => 1.0,
        };
        Self { endpoint, prompt_tokens, sent_at: now, kilotokens, is_answered: false }
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Notes the first event, or the whole answer of a plain service: a sample of the endpoint's pace.
    pub fn note_answer(&mut self, now: Instant) {
        if self.is_answered {
            return;
        }
        self.is_answered = true;
        let elapsed_ms = now.saturating_duration_since(self.sent_at).as_secs_f64() * 1_000.0;
        self.endpoint.pace_ms.borrow_mut().add(elapsed_ms / self.kilotokens);
        self.end_reading();
    }

    fn end_reading(&mut self) {
        let tokens = self.prompt_tokens.take().unwrap_or(0);
        self.endpoint.backlog_tokens.set(self.endpoint.backlog_tokens.get().saturating_sub(tokens));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.end_reading();
        self.endpoint.in_flight.set(self.endpoint.in_flight.get().saturating_sub(1));
    }
}
