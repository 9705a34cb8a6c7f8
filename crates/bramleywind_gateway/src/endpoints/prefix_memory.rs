use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::platform_api::PromptPrefix;

/// How long an engine is taken to hold what it read. Its cache drops what was used least recently; a prefix that comes back
/// within this time is mostly still there.
const HOLD_TIME: Duration = Duration::from_secs(20);

/// Prefixes that are remembered of one engine. Older ones are dropped when there are more.
const MOST_PREFIXES: usize = 1_024;

/// What an engine read lately for this process: prefixes of prompts, each named by a hash over its parts.
#[derive(Debug, Default)]
pub struct PrefixTracker {
    held_until: HashMap<u64, Instant>,
}

impl PrefixTracker {
    /// The tokens of the longest beginning of a prompt that the engine holds.
    pub fn cached_tokens(&self, prefixes: &[PromptPrefix], now: Instant) -> u64 {
        let is_held = |beginning: &&PromptPrefix| {
            self.held_until.get(&beginning.hash).is_some_and(|until| now < *until)
        };
        prefixes.iter().rfind(is_held).map_or(0, |beginning| beginning.tokens)
    }

    /// Notes that the engine reads a prompt.
    pub fn insert(&mut self, prefixes: &[PromptPrefix], now: Instant) {
        if self.held_until.len() >= MOST_PREFIXES {
            self.held_until.retain(|_, until| now < *until);
        }
        if self.held_until.len() >= MOST_PREFIXES {
            self.held_until.clear();
        }
        for beginning in prefixes {
            self.held_until.insert(beginning.hash, now + HOLD_TIME);
        }
    }
}
