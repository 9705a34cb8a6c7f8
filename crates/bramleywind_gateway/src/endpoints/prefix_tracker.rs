use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::platform_api::PromptPrefix;

/// Time for which an engine is assumed to cache a prefix. Its cache evicts the least recently used entries; a prefix
/// that is requested again within this time is usually still cached.
const PREFIX_CACHE_TIME: Duration = Duration::from_secs(20);

/// Number of prefixes tracked for one engine. When there are more, expired ones are dropped first, and then all.
const MAX_PREFIXES: usize = 1_024;

/// Tracker of the prompt prefixes that an engine recently prefilled for this process, each by the hash of its parts.
#[derive(Debug, Default)]
pub struct PrefixTracker {
    cached_until: HashMap<u64, Instant>,
}

impl PrefixTracker {
    /// Returns the length in tokens of the longest prefix of a prompt that the engine is expected to have cached.
    pub fn cached_tokens(&self, prefixes: &[PromptPrefix], now: Instant) -> u64 {
        let is_cached = |prefix: &&PromptPrefix| {
            self.cached_until.get(&prefix.hash).is_some_and(|until| now < *until)
        };
        prefixes.iter().rfind(is_cached).map_or(0, |prefix| prefix.tokens)
    }

    /// Records the prefixes of a prompt that is sent to the engine.
    pub fn insert(&mut self, prefixes: &[PromptPrefix], now: Instant) {
        if self.cached_until.len() >= MAX_PREFIXES {
            self.cached_until.retain(|_, until| now < *until);
        }
        if self.cached_until.len() >= MAX_PREFIXES {
            self.cached_until.clear();
        }
        for prefix in prefixes {
            self.cached_until.insert(prefix.hash, now + PREFIX_CACHE_TIME);
        }
    }
}
