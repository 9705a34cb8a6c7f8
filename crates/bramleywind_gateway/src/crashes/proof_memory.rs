use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::SharedPart;

/// The least time for which a proof is remembered.
const PROOF_RETENTION: Duration = Duration::from_secs(60);

/// The most parts that are remembered for each period. It bounds the memory of a process whose callers' prompts share
/// many parts.
const MAX_PROOFS: usize = 4_096;

/// Remembers when endpoints last went on answering requests with a part, in two periods of at most a minute.
///
/// ```
/// use std::time::{Duration, Instant};
/// use bramleywind_gateway::{crashes::{ProofMemory, SharedPart}, platform_api::PartId};
///
/// let part = SharedPart { service: "scribe".parse().unwrap(), id: PartId(7) };
/// let now = Instant::now();
/// let mut memory = ProofMemory::new(now);
/// memory.insert(&part, now, now);
/// memory.insert(&part, now - Duration::from_secs(1), now);
/// assert_eq!(memory.last(&part), Some(now));
/// ```
#[derive(Debug)]
pub struct ProofMemory {
    current: HashMap<SharedPart, Instant>,
    previous: HashMap<SharedPart, Instant>,
    period_end: Instant,
}

impl ProofMemory {
    /// Creates an empty memory.
    pub fn new(now: Instant) -> Self {
        let period_end = now + PROOF_RETENTION;
        Self { current: HashMap::new(), previous: HashMap::new(), period_end }
    }

    /// Remembers a proof of the given time, unless a later one is known.
    pub fn insert(&mut self, part: &SharedPart, at: Instant, now: Instant) {
        if now >= self.period_end || self.current.len() >= MAX_PROOFS {
            self.previous = std::mem::take(&mut self.current);
            self.period_end = now + PROOF_RETENTION;
        }
        if self.last(part).is_some_and(|last| last >= at) {
            return;
        }
        match self.current.get_mut(part) {
            Some(last) => *last = at,
            None => {
                self.current.insert(part.clone(), at);
            }
        }
    }

    /// Returns the time of the last proof.
    pub fn last(&self, part: &SharedPart) -> Option<Instant> {
        self.current.get(part).max(self.previous.get(part)).copied()
    }
}
