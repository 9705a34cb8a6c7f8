use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::Xxh3;

use super::engine_reports::{CacheEvent, CacheEventKind};

/// The words of one cached block. Engines cache whole blocks; 16 tokens is a common size.
pub(super) const BLOCK_TOKENS: u32 = 16;

/// How many events are kept for readers.
const MAX_EVENTS: usize = 10_000;

/// The part of an engine's memory that holds the beginnings of recent prompts.
#[derive(Debug)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    /// The tick of each block's latest use.
    blocks: HashMap<u64, CachedBlock>,
    /// Blocks by the tick of their latest use, for eviction.
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

    /// Looks a prompt up and stores it; returns how many of its first tokens were cached.
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

    /// Forgets everything, as a restarted engine does. Readers are not told.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.block_by_tick.clear();
    }

    /// The events after `after` that are at least `lag` old, without those of the gaps.
    pub(super) fn events(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let is_published = |(recorded_at, event): &&(Instant, CacheEvent)| {
            event.sequence > after
                && now - *recorded_at >= lag
                && (gap == 0 || event.sequence % gap != 0)
        };
        self.events.iter().filter(is_published).map(|(_, event)| event.clone()).collect()
    }

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
