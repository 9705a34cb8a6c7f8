use super::{Candidate, PlacementPolicy, PlacementRequest};
use crate::endpoints::REQUEST_OVERHEAD_KILOTOKENS;

/// Milliseconds for a thousand prompt tokens at an engine that has not answered yet: that of a usual engine. A new one is
/// then neither shunned nor swamped.
const UNKNOWN_PACE_MS: f64 = 35.0;

/// Thousands of tokens that each running request adds, since prompts are read between their tokens.
const RUNNING_KILOTOKENS: f64 = 0.03;

/// The part of a shared prefix that its first home has to read although this process never sent it there: other processes
/// mostly have.
const HOME_MISS_PART: f64 = 0.15;

/// The same for the second home, which takes what the first one can't. More than all of it, since what is read there drops
/// something else from that cache.
const SECOND_HOME_MISS_PART: f64 = 1.2;

/// The same for all other engines: one more cache is filled with the prefix.
const OTHER_MISS_PART: f64 = 1.8;

/// Milliseconds of a request at a plain service that has not answered yet.
const UNKNOWN_SERVICE_MS: f64 = 50.0;

/// The advantage that an endpoint in the own data centre has over an equal one.
const NEAR_FACTOR: f64 = 0.97;

/// Sends a request where its first event is expected first.
///
/// Answers the load of callers that share long prompts, on engines of unlike speed: the time to read what an engine does not
/// hold, behind what it has to read already, at the pace that it showed. Each prefix has a first and a second home that all
/// processes agree on, so they fill the same caches. Requests without a prompt go to the better of two endpoints that
/// are drawn at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyPlacement;

impl PlacementPolicy for LatencyPlacement {
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize> {
        let has_usable = candidates.iter().any(|candidate| !candidate.is_avoided);
        // If all failed lately, any of them may have recovered.
        let usable = |index: &usize| !has_usable || !candidates[*index].is_avoided;
        let mut indices: Vec<_> = (0..candidates.len()).filter(usable).collect();
        if request.prompt_tokens == 0 {
            return choose_service(request, candidates, &indices);
        }
        indices.sort_unstable_by_key(|index| std::cmp::Reverse(candidates[*index].affinity));
        let predicted = indices.iter().enumerate().map(|(home_rank, index)| {
            (*index, predict_ms(request, &candidates[*index], home_rank))
        });
        predicted.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
    }
}

/// The expected time to the first event, in milliseconds.
fn predict_ms(request: &PlacementRequest, candidate: &Candidate, home_rank: usize) -> f64 {
    let known_miss = request.prompt_tokens.saturating_sub(candidate.cached_tokens);
    let own_tokens = request.prompt_tokens.saturating_sub(request.shared_tokens) as f64;
    let miss_part = match home_rank {
        0 => HOME_MISS_PART,
        1 => SECOND_HOME_MISS_PART,
        _ => OTHER_MISS_PART,
    };
    let guessed_miss = own_tokens + request.shared_tokens as f64 * miss_part;
    let holds_shared = candidate.cached_tokens >= request.shared_tokens;
    let miss = if holds_shared { known_miss as f64 } else { guessed_miss };
    let reading = (candidate.backlog_tokens as f64 + miss) / 1_000.0;
    let running = f64::from(candidate.reported_requests.unwrap_or(0).max(candidate.in_flight));
    let kilotokens = reading + REQUEST_OVERHEAD_KILOTOKENS + running * RUNNING_KILOTOKENS;
    let near = if candidate.is_local { NEAR_FACTOR } else { 1.0 };
    candidate.pace_ms.unwrap_or(UNKNOWN_PACE_MS) * kilotokens * near
}

fn choose_service(
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
        let waiting = f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1));
        let near = if candidate.is_local { NEAR_FACTOR } else { 1.0 };
        candidate.pace_ms.unwrap_or(UNKNOWN_SERVICE_MS) * (1.0 + waiting) * near
    };
    Some(if cost(second) < cost(first) { second } else { first })
}
