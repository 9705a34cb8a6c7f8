use std::rc::Rc;

use super::Endpoint;

/// Counts a request at its endpoint until it is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    endpoint: Rc<Endpoint>,
    prefill_tokens: u64,
}

impl WorkGuard {
    pub(super) fn new(endpoint: Rc<Endpoint>, prefill_tokens: u64) -> Self {
        endpoint.in_flight.set(endpoint.in_flight.get() + 1);
        endpoint.prefill_tokens.set(endpoint.prefill_tokens.get() + prefill_tokens);
        Self { endpoint, prefill_tokens }
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Notes that the prompt has been read: the first event came.
    pub fn end_prefill(&mut self) {
        let left = self.endpoint.prefill_tokens.get().saturating_sub(self.prefill_tokens);
        self.endpoint.prefill_tokens.set(left);
        self.prefill_tokens = 0;
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.end_prefill();
        self.endpoint.in_flight.set(self.endpoint.in_flight.get().saturating_sub(1));
    }
}
