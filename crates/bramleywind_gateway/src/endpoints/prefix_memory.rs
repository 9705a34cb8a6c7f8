use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::link::PromptPart;

/// How long an engine is taken to hold what it read. Its cache drops what was used least recently; a prefix that comes back
/// within this time is mostly still there.
const HOLD_TIME: Duration = Duration::from_secs(20);

/// Prefixes that are remembered of one engine. Older ones are dropped when there are more.
const MOST_PREFIXES: usize = 1_024;

/// What an engine read lately for this process: beginnings of prompts, each named by a hash over its parts.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    held_until: HashMap<u64, Instant>,
}

impl PrefixMemory {
    /// The tokens of the longest beginning of a prompt that the engine holds.
    pub fn cached_tokens(&self, parts: &[PromptPart], now: Instant) -> u64 {
        let mut cached = 0;
        let mut total = 0;
        for (hash, part) in beginnings(parts) {
            total += u64::from(part.tokens);
            if self.held_until.get(&hash).is_some_and(|until| now < *until) {
                cached = total;
            }
        }
        cached
    }

    /// Notes that the engine reads a prompt.
    pub fn insert(&mut self, parts: &[PromptPart], now: Instant) {
        if self.held_until.len() >= MOST_PREFIXES {
            self.held_until.retain(|_, until| now < *until);
        }
        if self.held_until.len() >= MOST_PREFIXES {
            self.held_until.clear();
        }
        for (hash, _) in beginnings(parts) {
            self.held_until.insert(hash, now + HOLD_TIME);
        }
    }
}

/// Each beginning of a prompt with its last part.
fn beginnings(parts: &[PromptPart]) -> impl Iterator<Item = (u64, &PromptPart)> {
    parts.iter().scan(0, |seed, part| {
        *seed = xxh3_64_with_seed(&part.id.to_le_bytes(), *seed);
        Some((*seed, part))
    })
}
