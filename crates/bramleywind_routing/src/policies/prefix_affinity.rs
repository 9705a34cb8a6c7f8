use std::collections::BTreeMap;

use bramleywind_types::EndpointId;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{EndpointPolicy, EndpointState, PrefixHash, RouteRequest, prefix_table::PrefixTable};

/// Assumed share of prefill time that remains when the prefix is cached, until it is measured.
const CACHED_PREFILL_SHARE: f64 = 0.2;

/// Assumed prefill time of an endpoint that has not been measured, in milliseconds a prompt token.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.5;

/// Assumed time between tokens of an endpoint that has not been measured, in milliseconds.
const DEFAULT_MS_PER_TOKEN: f64 = 20.0;

/// How many milliseconds a fully occupied endpoint counts as slower than an idle one, before requests wait.
/// Spreads load while slots are free, because a fuller batch prefills more slowly.
const OCCUPANCY_MS: f64 = 40.0;

/// Random part of a prediction. Keeps routers that see the same reports from all choosing one endpoint.
const JITTER_SHARE: f64 = 0.05;

/// After how many choices an endpoint that was no candidate in any of them is no longer a home.
const MAX_CHOICES_ABSENT: u64 = 1_000;

/// Sends a request to the endpoint with the shortest predicted time to its first token.
///
/// The prediction adds the wait for a slot, the prefill time at the endpoint's measured speed, less where the
/// prefix is cached, and a share for occupancy. A hot prefix spreads by itself: when its endpoint's queue costs
/// more than a prefill elsewhere, another endpoint is chosen and then has the prefix too.
#[derive(Debug)]
pub struct PrefixAffinity {
    sent_prefixes: PrefixTable,
    /// All endpoints that were candidates lately, with their slots and the number of the latest choice that they
    /// were part of. An endpoint that is busy for the moment remains the home of its prefixes.
    known_endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    choices: u64,
    random: SmallRng,
}

#[derive(Debug, Clone, Copy)]
struct KnownEndpoint {
    slots: u32,
    latest_choice: u64,
}

impl PrefixAffinity {
    /// A policy whose draws follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            sent_prefixes: PrefixTable::default(),
            known_endpoints: BTreeMap::new(),
            choices: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn record_candidates(&mut self, candidates: &[&EndpointState]) {
        self.choices += 1;
        let latest_choice = self.choices;
        for state in candidates {
            let known = KnownEndpoint { slots: state.slots, latest_choice };
            match self.known_endpoints.get_mut(&state.id) {
                Some(entry) => *entry = known,
                None => drop(self.known_endpoints.insert(state.id.clone(), known)),
            }
        }
        self.known_endpoints
            .retain(|_, known| latest_choice - known.latest_choice <= MAX_CHOICES_ABSENT);
    }

    /// The candidate that all routers regard as having the prefix, by rendezvous hash, so that they agree without
    /// messages. Each endpoint's chance grows with its slots. Nothing if that endpoint is no candidate now.
    fn home_index(&self, prefix: PrefixHash, candidates: &[&EndpointState]) -> Option<usize> {
        let score = |id: &EndpointId, slots: u32| {
            let uniform = (prefix.rank(id.as_str()) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            -f64::from(slots) / uniform.ln()
        };
        let scores = self.known_endpoints.iter().map(|(id, known)| (id, score(id, known.slots)));
        let (home, _) = scores.max_by(|left, right| left.1.total_cmp(&right.1))?;
        candidates.iter().position(|state| state.id == *home)
    }

    fn predicted_first_token_ms(
        &self,
        request: &RouteRequest,
        state: &EndpointState,
        is_home: bool,
    ) -> f64 {
        slot_wait_ms(request, state)
            + self.prefill_ms(request, state, is_home)
            + OCCUPANCY_MS * state.occupancy().min(1.0)
    }

    fn prefill_ms(&self, request: &RouteRequest, state: &EndpointState, is_home: bool) -> f64 {
        let uncached = state.prefill_ms_per_token.current().unwrap_or(DEFAULT_PREFILL_MS_PER_TOKEN);
        let was_sent = |prefix| self.sent_prefixes.contains(&state.id, prefix);
        let is_cached = is_home || request.prefix.is_some_and(was_sent);
        let cached =
            || state.cached_ms_per_token.current().unwrap_or(uncached * CACHED_PREFILL_SHARE);
        f64::from(request.prompt_tokens) * if is_cached { cached() } else { uncached }
    }
}

impl EndpointPolicy for PrefixAffinity {
    fn choose(&mut self, request: &RouteRequest, candidates: &[&EndpointState]) -> Option<usize> {
        self.record_candidates(candidates);
        let home = request.prefix.and_then(|prefix| self.home_index(prefix, candidates));
        let mut best = None;
        for (index, state) in candidates.iter().enumerate() {
            let predicted = self.predicted_first_token_ms(request, state, home == Some(index));
            let predicted = predicted * (1.0 + self.random.random_range(0.0..JITTER_SHARE));
            if best.is_none_or(|(_, least)| predicted < least) {
                best = Some((index, predicted));
            }
        }
        best.map(|(index, _)| index)
    }

    fn record_sent(&mut self, request: &RouteRequest, endpoint: &EndpointState) {
        if let Some(prefix) = request.prefix {
            self.sent_prefixes.record(&endpoint.id, prefix);
        }
    }
}

/// The expected wait until a slot is free, in milliseconds: the requests ahead of this one beyond the slots,
/// each of which frees a slot once in a service time divided by the slots.
fn slot_wait_ms(request: &RouteRequest, state: &EndpointState) -> f64 {
    let ahead = f64::from(state.estimated_in_flight()) + 1.0 - f64::from(state.slots);
    let token_ms = state.ms_per_token.current().unwrap_or(DEFAULT_MS_PER_TOKEN);
    let default_service_ms = token_ms * f64::from(request.answer_tokens);
    let service_ms = state.service_ms.current().unwrap_or(default_service_ms);
    ahead.max(0.0) * service_ms / f64::from(state.slots)
}
