use super::{Candidate, PlacementPolicy, PlacementRequest};

/// How many more requests than the least loaded endpoint a prefix's home may have. Reading a long shared prefix
/// again costs an engine about as much as three requests that find it in the cache.
const HOME_SLACK: u32 = 3;

/// Sends requests with the same prefix to the same endpoint, unless it has more work than others.
///
/// Answers the load of many callers that share some long prompts. Requests without a prefix go to the endpoint with
/// the least work, a near one among equals.
#[derive(Debug, Clone, Copy, Default)]
pub struct HomePlacement;

impl PlacementPolicy for HomePlacement {
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize> {
        let usable = |candidate: &&(usize, &Candidate)| !candidate.1.is_avoided;
        let indexed: Vec<_> = candidates.iter().enumerate().collect();
        let least = indexed.iter().filter(usable).map(|(_, found)| found.in_flight).min();
        let Some(least) = least else {
            // All failed lately: the one with the least work may have recovered.
            return indexed
                .iter()
                .min_by_key(|(_, found)| found.in_flight)
                .map(|(index, _)| *index);
        };
        let usable = indexed.iter().filter(usable);
        let chosen = match request.prefix {
            Some(_) => usable
                .filter(|(_, found)| found.in_flight <= least + HOME_SLACK)
                .max_by_key(|(_, found)| found.affinity),
            None => usable.min_by_key(|(_, found)| {
                (found.in_flight, !found.is_near, found.affinity ^ request.tie_break)
            }),
        };
        chosen.map(|(index, _)| *index)
    }
}
