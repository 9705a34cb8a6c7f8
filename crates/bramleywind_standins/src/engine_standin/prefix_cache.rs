use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::Xxh3;

use super::engine_reports::{CacheEvent, CacheEventKind};

/// The number of tokens (words) of a cached block. Engines cache whole blocks; 16 tokens is a common size.
pub(super) const BLOCK_TOKENS: u32 = 16;

/// Maximum number of events that are kept for readers.
const MAX_EVENTS: usize = 10_000;

/// A cache of the prefixes of recent prompts, with eviction of the least recently used blocks.
#[derive(Debug)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    /// The cached blocks by the hash of their prefix, with the tick of their latest use.
    blocks: HashMap<u64, CachedBlock>,
    /// The hash of each block by the tick of its latest use, for eviction.
    block_by_tick: BTreeMap<u64, u64>,
    latest_tick: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct CachedBlock {
    tick: u64,
    tokens: u32,
}

impl PrefixCache {
    pub(super) fn new(max_tokens: u32) -> Self {
        Self {
            max_blocks: (max_tokens / BLOCK_TOKENS) as usize,
            blocks: HashMap::new(),
            block_by_tick: BTreeMap::new(),
            latest_tick: 0,
            events: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Looks up a prompt and stores it. Returns the number of its leading tokens that were cached.
    pub(super) fn lookup_and_store<'a>(&mut self, words: impl Iterator<Item = &'a str>) -> u32 {
        let mut cached_tokens = 0;
        let mut is_prefix_cached = true;
        let mut hasher = Xxh3::new();
        for (index, word) in (1..).zip(words) {
            hasher.update(word.as_bytes());
            hasher.update(b" ");
            if index % BLOCK_TOKENS != 0 {
                continue;
            }
            let prefix = hasher.digest();
            is_prefix_cached &= self.blocks.contains_key(&prefix);
            if is_prefix_cached {
                cached_tokens = index;
            }
            self.mark_used(prefix, index);
        }
        cached_tokens
    }

    /// Removes all blocks, as a restart of an engine does. No events are recorded for it.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.block_by_tick.clear();
    }

    /// Returns the events after sequence number `after` that are at least `lag` old, without those whose sequence
    /// number is a multiple of `gap`.
    pub(super) fn events(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let is_published = |(recorded_at, event): &&(Instant, CacheEvent)| {
            event.sequence > after
                && now - *recorded_at >= lag
                && (gap == 0 || event.sequence % gap != 0)
        };
        self.events.iter().filter(is_published).map(|(_, event)| event.clone()).collect()
    }

    /// Stores a block or updates its latest use, and evicts the least recently used blocks beyond the capacity.
    fn mark_used(&mut self, prefix: u64, tokens: u32) {
        if self.max_blocks == 0 {
            return;
        }
        self.latest_tick += 1;
        let block = CachedBlock { tick: self.latest_tick, tokens };
        match self.blocks.insert(prefix, block) {
            Some(old) => {
                self.block_by_tick.remove(&old.tick);
            }
            None => self.record(CacheEventKind::Stored, prefix, tokens),
        }
        self.block_by_tick.insert(self.latest_tick, prefix);
        while self.blocks.len() > self.max_blocks {
            let Some((_, evicted)) = self.block_by_tick.pop_first() else { return };
            if let Some(block) = self.blocks.remove(&evicted) {
                self.record(CacheEventKind::Evicted, evicted, block.tokens);
            }
        }
    }

    fn record(&mut self, kind: CacheEventKind, prefix: u64, tokens: u32) {
        self.last_sequence += 1;
        let prefix = format!("{prefix:016x}").into();
        let event = CacheEvent { sequence: self.last_sequence, kind, prefix, tokens };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
