use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{EndpointPolicy, EndpointState, RouteRequest};

/// Draws two endpoints at random and takes the one with less of this router's own work for its slots.
#[derive(Debug)]
pub struct TwoChoices {
    random: SmallRng,
}

impl TwoChoices {
    /// A policy whose draws follow from `seed`.
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
