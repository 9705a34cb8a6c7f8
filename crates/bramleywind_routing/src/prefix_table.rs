use std::collections::{BTreeMap, HashMap};

use bramleywind_types::EndpointId;

use crate::PrefixHash;

/// How many prefixes are remembered for each endpoint. Engines evict too, and which prefix they still hold is
/// not known in time: their cache events come late and with gaps. Learning the number from first tokens was
/// measured and forgot prefixes that engines still had.
const PREFIXES_PER_ENDPOINT: usize = 64;

/// The prefixes that were sent to each endpoint last, oldest forgotten first.
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
