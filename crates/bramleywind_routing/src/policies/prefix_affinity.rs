use std::collections::BTreeMap;

use bramleywind_types::EndpointId;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{EndpointPolicy, EndpointState, PrefixHash, RouteRequest, prefix_table::PrefixTable};

/// The assumed ratio of the prefill time with a cached prefix to that without, until it has been measured.
const CACHED_PREFILL_SHARE: f64 = 0.2;

/// The assumed prefill time of an endpoint that has not been measured, in milliseconds per prompt token.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.5;

/// The assumed time between tokens of an endpoint that has not been measured, in milliseconds.
const DEFAULT_MS_PER_TOKEN: f64 = 20.0;

/// The time added to the prediction for an endpoint whose slots are all in use, in milliseconds. It grows linearly
/// with occupancy and spreads load while slots are free, because a fuller batch prefills more slowly.
const OCCUPANCY_MS: f64 = 40.0;

/// The largest random addition to a prediction, as a share of it. It keeps routers that see the same reports from all
/// choosing the same endpoint.
const JITTER_SHARE: f64 = 0.05;

/// The number of consecutive choices without an endpoint among the candidates, after which it is forgotten and is no
/// longer the home of any prefix.
const MAX_CHOICES_ABSENT: u64 = 1_000;

/// Chooses the endpoint with the shortest predicted time to the first token.
///
/// The prediction is the sum of the wait for a slot, the prefill time at the measured speed, which is shorter if the
/// prefix is cached, and an addition for occupancy. Each prefix has a home endpoint, which is taken to have it cached,
/// as is each endpoint that the prefix was sent to recently. A hot prefix spreads to further endpoints: once the wait
/// at its endpoint exceeds a prefill elsewhere, another endpoint is chosen and then caches the prefix too.
#[derive(Debug)]
pub struct PrefixAffinity {
    sent_prefixes: PrefixTable,
    /// The endpoints that were candidates recently. They include those that are busy at the moment, which remain the
    /// homes of their prefixes.
    known_endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// The number of choices made so far.
    choices: u64,
    random: SmallRng,
}

#[derive(Debug, Clone, Copy)]
struct KnownEndpoint {
    slots: u32,
    /// The number of the latest choice in which the endpoint was a candidate.
    latest_choice: u64,
}

impl PrefixAffinity {
    /// Creates a policy whose random draws are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            sent_prefixes: PrefixTable::default(),
            known_endpoints: BTreeMap::new(),
            choices: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Records the candidates of this choice, and forgets endpoints that have not been candidates for long.
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

    /// Returns the index of the home endpoint of a prefix, or `None` if that endpoint is not a candidate now.
    ///
    /// The home is chosen by rendezvous hashing weighted by the slots, so that all routers agree on it without
    /// exchanging messages.
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

/// Returns the expected wait for a free slot, in milliseconds: the number of requests to wait for, times the average
/// time between slots becoming free, which is the service time divided by the slots.
fn slot_wait_ms(request: &RouteRequest, state: &EndpointState) -> f64 {
    let ahead = f64::from(state.estimated_in_flight()) + 1.0 - f64::from(state.slots);
    let token_ms = state.ms_per_token.current().unwrap_or(DEFAULT_MS_PER_TOKEN);
    let default_service_ms = token_ms * f64::from(request.answer_tokens);
    let service_ms = state.service_ms.current().unwrap_or(default_service_ms);
    ahead.max(0.0) * service_ms / f64::from(state.slots)
}
