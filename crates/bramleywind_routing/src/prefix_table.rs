use std::collections::{BTreeMap, HashMap};

use bramleywind_types::EndpointId;

use crate::PrefixHash;

/// The number of prefixes that are remembered for each endpoint.
///
/// The limit is fixed because the router cannot know in time which prefixes an engine has evicted: the cache events of
/// engines arrive late and with gaps. A limit derived from the times to first tokens forgot prefixes that engines
/// still had cached.
const PREFIXES_PER_ENDPOINT: usize = 64;

/// The prefixes that were sent to each endpoint most recently. The least recently used one is forgotten first.
#[derive(Debug, Default)]
pub(crate) struct PrefixTable {
    endpoints: HashMap<EndpointId, RecentPrefixes>,
}

#[derive(Debug, Default)]
struct RecentPrefixes {
    uses: u64,
    last_use: HashMap<PrefixHash, u64>,
    by_use: BTreeMap<u64, PrefixHash>,
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
            recent.record(prefix);
        }
    }
}

impl RecentPrefixes {
    fn record(&mut self, prefix: PrefixHash) {
        self.uses += 1;
        if let Some(previous) = self.last_use.insert(prefix, self.uses) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.uses, prefix);
        if self.by_use.len() > PREFIXES_PER_ENDPOINT
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.last_use.remove(&oldest);
        }
    }
}
