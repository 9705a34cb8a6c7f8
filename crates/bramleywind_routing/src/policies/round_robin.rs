use crate::{EndpointPolicy, EndpointState, RouteRequest};

/// Rotates through the endpoints, regardless of their speed. This policy serves as a baseline for comparisons.
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
