use std::collections::{BTreeMap, HashMap};

use bramleywind_types::EndpointId;

use crate::PrefixHash;

/// How many prefixes are remembered for each endpoint at most, and at first. The count that engines keep is
/// learned from first tokens.
const MOST_PREFIXES: f64 = 512.0;
const FIRST_PREFIXES: f64 = 64.0;

/// How many prefixes are remembered for each endpoint at least, so that a hot prefix is never forgotten.
const LEAST_PREFIXES: f64 = 2.0;

/// How much more is remembered after a prefix was found cached that had been forgotten.
const GROWTH: f64 = 1.0;

/// The prefixes that were sent to each endpoint last, oldest forgotten first.
///
/// Engines evict, and which prefix they hold is not known in time: their cache events come late and with gaps.
/// So this learns how many prefixes back an engine still has one, from the first tokens. The number is one for
/// all endpoints, because engines of a fleet have caches of about the same size and it is learned sooner.
#[derive(Debug)]
pub(crate) struct PrefixTable {
    limit: f64,
    endpoints: HashMap<EndpointId, RecentPrefixes>,
}

#[derive(Debug, Default)]
struct RecentPrefixes {
    uses: u64,
    last_use: HashMap<PrefixHash, PrefixUse>,
    by_use: BTreeMap<u64, PrefixHash>,
}

#[derive(Debug, Clone, Copy)]
struct PrefixUse {
    number: u64,
    /// How many other prefixes were sent to the endpoint since the use before this one; nothing if that use
    /// was forgotten.
    distance: Option<usize>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        Self { limit: FIRST_PREFIXES, endpoints: HashMap::new() }
    }
}

impl PrefixTable {
    pub(crate) fn contains(&self, endpoint: &EndpointId, prefix: PrefixHash) -> bool {
        self.endpoints.get(endpoint).is_some_and(|recent| recent.last_use.contains_key(&prefix))
    }

    pub(crate) fn record(&mut self, endpoint: &EndpointId, prefix: PrefixHash) {
        if !self.endpoints.contains_key(endpoint) {
            self.endpoints.insert(endpoint.clone(), RecentPrefixes::default());
        }
        if let Some(recent) = self.endpoints.get_mut(endpoint) {
            recent.record(prefix, self.limit as usize);
        }
    }

    /// Learns from a first token whether the prefix was cached when it was sent last.
    pub(crate) fn learn(&mut self, endpoint: &EndpointId, prefix: PrefixHash, was_cached: bool) {
        let Some(recent) = self.endpoints.get(endpoint) else { return };
        let Some(latest) = recent.last_use.get(&prefix) else { return };
        self.limit = match (latest.distance, was_cached) {
            // The engine held fewer prefixes than this distance; half of the way allows for a chance miss.
            (Some(distance), false) if (distance as f64) < self.limit => {
                (self.limit + distance as f64) / 2.0
            }
            (None, true) => self.limit + GROWTH,
            _ => self.limit,
        }
        .clamp(LEAST_PREFIXES, MOST_PREFIXES);
    }
}

impl RecentPrefixes {
    fn record(&mut self, prefix: PrefixHash, limit: usize) {
        self.uses += 1;
        let previous = self.last_use.get(&prefix).map(|latest| latest.number);
        let distance = previous.map(|number| self.by_use.range(number + 1..).count());
        if let Some(number) = previous {
            self.by_use.remove(&number);
        }
        self.last_use.insert(prefix, PrefixUse { number: self.uses, distance });
        self.by_use.insert(self.uses, prefix);
        while self.by_use.len() > limit
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.last_use.remove(&oldest);
        }
    }
}
