use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{EndpointPolicy, EndpointState, RouteRequest};

/// Draws two endpoints at random and chooses the one with fewer of this router's requests per slot.
#[derive(Debug)]
pub struct TwoChoices {
    random: SmallRng,
}

impl TwoChoices {
    /// Creates a policy whose random draws are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }
}

impl EndpointPolicy for TwoChoices {
    fn choose(&mut self, _request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..candidates.len());
        let second = self.random.random_range(0..candidates.len());
        let own_load = |index: usize| {
            let state = candidates[index];
            f64::from(state.in_flight) / f64::from(state.slots)
        };
        Some(if own_load(second) < own_load(first) { second } else { first })
    }
}
