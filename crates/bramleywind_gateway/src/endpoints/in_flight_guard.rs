use std::{rc::Rc, time::Instant};

use super::Endpoint;

/// Fixed cost of a request, in thousands of prompt tokens: the round trip and the batch step that the request joins.
/// Both the measurement of an endpoint's latency and the prediction for a request include it.
pub const REQUEST_OVERHEAD_KILOTOKENS: f64 = 0.5;

/// Guard that counts a request as in flight at its endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    endpoint: Rc<Endpoint>,
    prompt_tokens: Option<u64>,
    sent_at: Instant,
    /// Thousands of prompt tokens that the endpoint had to prefill before it could answer, including its backlog; 1 for
    /// a request without a prompt.
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

    /// The endpoint that the request was sent to.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Records the first event of a stream, or the whole response of a plain service, as a latency sample of the
    /// endpoint. Later calls have no effect.
    pub fn record_first_answer(&mut self, now: Instant) {
        if self.is_answered {
            return;
        }
        self.is_answered = true;
        let elapsed_ms = now.saturating_duration_since(self.sent_at).as_secs_f64() * 1_000.0;
        self.endpoint.pace_ms.borrow_mut().add(elapsed_ms / self.kilotokens);
        self.finish_prefill();
    }

    fn finish_prefill(&mut self) {
        let tokens = self.prompt_tokens.take().unwrap_or(0);
        self.endpoint.backlog_tokens.set(self.endpoint.backlog_tokens.get().saturating_sub(tokens));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        self.endpoint.in_flight.set(self.endpoint.in_flight.get().saturating_sub(1));
    }
}
