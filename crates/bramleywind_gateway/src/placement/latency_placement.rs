use super::{Candidate, PlacementPolicy, PlacementRequest};
use crate::endpoints::REQUEST_OVERHEAD_KILOTOKENS;

/// Assumed latency for a thousand prompt tokens at an engine that has not answered yet. It is the latency of a typical
/// engine, so that a new one is neither avoided nor overloaded.
const DEFAULT_PACE_MS: f64 = 35.0;

/// Cost of each running request, in thousands of prompt tokens: engines prefill prompts between the tokens that they
/// generate for running requests.
const RUNNING_REQUEST_KILOTOKENS: f64 = 0.03;

/// Expected fraction of a shared prefix that its primary engine has to prefill although this process never sent it
/// there. It is small because other processes usually have.
const PRIMARY_MISS_FRACTION: f64 = 0.15;

/// The same fraction for the secondary engine, which takes the overflow of the primary one. It is above 1 because
/// prefilling the prefix there evicts something else from that cache.
const SECONDARY_MISS_FRACTION: f64 = 1.2;

/// The same fraction for all other engines, where the prefix takes up space in one more cache.
const OTHER_MISS_FRACTION: f64 = 1.8;

/// Assumed latency of a request at a plain service endpoint that has not answered yet.
const DEFAULT_SERVICE_MS: f64 = 50.0;

/// Factor on the predicted latency of an endpoint in the gateway's data centre, so that it is preferred over an equal
/// one elsewhere.
const LOCAL_FACTOR: f64 = 0.97;

/// How much more a request costs at an endpoint that fails all requests: it has to run again elsewhere, or is lost. An endpoint
/// that fails one request of ten is as good as one that takes half as long again.
const FAILURE_COST: f64 = 5.0;

/// Placement policy that chooses the endpoint with the lowest predicted time to the first event.
///
/// Designed for callers that share long prompts and for engines of different speeds. The prediction is the time that
/// the engine needs, at its observed speed, to prefill its backlog and then the part of the prompt that it has not
/// cached. Each prefix has a primary and a secondary engine on which all processes agree, so that they fill the same
/// caches. Requests without a prompt go to the better of two endpoints chosen at random (power of two choices).
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyPlacement;

impl PlacementPolicy for LatencyPlacement {
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize> {
        let has_healthy = candidates.iter().any(|candidate| !candidate.is_avoided);
        // If all endpoints failed recently, any of them may have recovered, so all are considered.
        let is_usable = |index: &usize| !has_healthy || !candidates[*index].is_avoided;
        let mut indices: Vec<_> = (0..candidates.len()).filter(is_usable).collect();
        if request.prompt_tokens == 0 {
            return choose_of_two(request, candidates, &indices);
        }
        indices.sort_unstable_by_key(|index| std::cmp::Reverse(candidates[*index].affinity));
        let predicted = indices.iter().enumerate().map(|(affinity_rank, index)| {
            (*index, predict_first_event_ms(request, &candidates[*index], affinity_rank))
        });
        predicted.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
    }
}

/// Returns the predicted time to the first event, in milliseconds.
fn predict_first_event_ms(
    request: &PlacementRequest,
    candidate: &Candidate,
    affinity_rank: usize,
) -> f64 {
    let uncached_tokens = request.prompt_tokens.saturating_sub(candidate.cached_tokens);
    let unshared_tokens = request.prompt_tokens.saturating_sub(request.shared_tokens) as f64;
    let miss_fraction = match affinity_rank {
        0 => PRIMARY_MISS_FRACTION,
        1 => SECONDARY_MISS_FRACTION,
        _ => OTHER_MISS_FRACTION,
    };
    let estimated_miss = unshared_tokens + request.shared_tokens as f64 * miss_fraction;
    let has_shared_cached = candidate.cached_tokens >= request.shared_tokens;
    let miss_tokens = if has_shared_cached { uncached_tokens as f64 } else { estimated_miss };
    let prefill_kilotokens = (candidate.backlog_tokens as f64 + miss_tokens) / 1_000.0;
    let running_requests =
        f64::from(candidate.reported_requests.unwrap_or(0).max(candidate.in_flight));
    let kilotokens = prefill_kilotokens
        + REQUEST_OVERHEAD_KILOTOKENS
        + running_requests * RUNNING_REQUEST_KILOTOKENS;
    let local_factor = if candidate.is_local { LOCAL_FACTOR } else { 1.0 };
    candidate.pace_ms.unwrap_or(DEFAULT_PACE_MS)
        * kilotokens
        * local_factor
        * failure_factor(candidate)
}

/// Returns the factor by which expected failures make an endpoint less attractive.
fn failure_factor(candidate: &Candidate) -> f64 {
    1.0 + FAILURE_COST * candidate.failure_rate
}

/// Returns the cheaper of two random candidates, by latency and occupied slots. Random pairs keep the gateways from all
/// choosing the same endpoint.
fn choose_of_two(
    request: &PlacementRequest,
    candidates: &[Candidate],
    indices: &[usize],
) -> Option<usize> {
    let count = indices.len() as u64;
    if count == 0 {
        return None;
    }
    let first = indices[(request.tie_break % count) as usize];
    let step = 1 + (request.tie_break >> 32) % count.saturating_sub(1).max(1);
    let second = indices[((request.tie_break % count + step) % count) as usize];
    let cost = |index: usize| {
        let candidate = &candidates[index];
        let occupancy = f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1));
        let local_factor = if candidate.is_local { LOCAL_FACTOR } else { 1.0 };
        candidate.pace_ms.unwrap_or(DEFAULT_SERVICE_MS)
            * (1.0 + occupancy)
            * local_factor
            * failure_factor(candidate)
    };
    Some(if cost(second) < cost(first) { second } else { first })
}
