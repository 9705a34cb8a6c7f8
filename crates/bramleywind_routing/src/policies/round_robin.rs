use crate::{EndpointPolicy, EndpointState, RouteRequest};

/// Sends requests to each endpoint in turn, whatever its speed. The baseline of comparisons.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl EndpointPolicy for RoundRobin {
    fn choose(&mut self, _request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(self.turn % candidates.len())
    }
}
