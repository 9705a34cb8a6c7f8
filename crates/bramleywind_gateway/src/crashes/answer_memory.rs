use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use super::CallFingerprint;

/// The least time for which an answer is remembered.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);

/// The most requests that are remembered for each period. It bounds the memory of a process whose callers never send
/// the same request twice.
const MAX_ANSWERS: usize = 2_048;

/// Remembers which requests endpoints answered lately, in two periods of at most half a minute.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_gateway::crashes::{AnswerMemory, CallFingerprint};
/// use http::{Method, Uri};
///
/// let service = "orders".parse().unwrap();
/// let target = Uri::from_static("/orders/7");
/// let fingerprint = CallFingerprint::of(None, &service, &Method::GET, &target, b"");
/// let mut memory = AnswerMemory::new(Instant::now());
/// assert!(!memory.contains(&fingerprint));
/// memory.insert(&fingerprint, Instant::now());
/// assert!(memory.contains(&fingerprint));
/// ```
#[derive(Debug)]
pub struct AnswerMemory {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    period_end: Instant,
}

impl AnswerMemory {
    /// Creates an empty memory.
    pub fn new(now: Instant) -> Self {
        let period_end = now + ANSWER_RETENTION;
        Self { current: HashSet::new(), previous: HashSet::new(), period_end }
    }

    /// Remembers that a request was answered.
    pub fn insert(&mut self, fingerprint: &CallFingerprint, now: Instant) {
        if now >= self.period_end || self.current.len() >= MAX_ANSWERS {
            self.previous = std::mem::take(&mut self.current);
            self.period_end = now + ANSWER_RETENTION;
        }
        self.current.insert(fingerprint.short_hash());
    }

    /// Returns whether the request was answered lately.
    pub fn contains(&self, fingerprint: &CallFingerprint) -> bool {
        let hash = fingerprint.short_hash();
        self.current.contains(&hash) || self.previous.contains(&hash)
    }
}
