use crate::{EndpointPolicy, EndpointState, RouteRequest};

/// Sends requests to each endpoint in turn, whatever its speed. The baseline of comparisons.
#[derive(Debug, Default)]
pub struct RoundRobin {
    counter: usize,
}

impl EndpointPolicy for RoundRobin {
    fn choose(&mut self, _request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.counter = self.counter.wrapping_add(1);
        Some(self.counter % candidates.len())
    }
}
