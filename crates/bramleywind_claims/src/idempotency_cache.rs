use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use bramleywind_types::{BodyHash, InstanceId, RequestId, RequestKey};

use crate::{
    KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome, KeyFinishRequest, MAX_CACHED_BODY_BYTES,
    RecordedOutcome,
};

/// How long a cache remembers a key after its last change.
pub const KEY_RETENTION: Duration = Duration::from_secs(10 * 60);

/// The maximum total size of the entries of a cache, in bytes. A node has 64 MB for all control state.
pub const MAX_CACHE_BYTES: usize = 16 * 1024 * 1024;

/// The size of an entry without its key and body, in bytes.
const ENTRY_BYTES: usize = 256;

/// A cache of idempotent requests by key, held in the memory of a router.
///
/// Each key has two home routers, whose caches record its request. When a cache is full, the entry that expires
/// first is evicted. Its request may then run twice, which is allowed for idempotent requests.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_claims::{KeyClaimOutcome, KeyClaimRequest, IdempotencyCache};
/// use bramleywind_types::{BodyHash, RequestId, RequestKey};
///
/// let mut cache = IdempotencyCache::default();
/// let request = KeyClaimRequest {
///     key: RequestKey { workspace: "ferries".parse().unwrap(), key: "k".parse().unwrap() },
///     body_hash: BodyHash::of(&[b"{}"]),
///     holder: "akl-a-1".parse().unwrap(),
///     attempt: RequestId::random(),
/// };
/// assert_eq!(cache.claim(&request, |_| true, Instant::now()), KeyClaimOutcome::Started { replaces_dead: false });
/// ```
#[derive(Debug, Default)]
pub struct IdempotencyCache {
    entries: HashMap<RequestKey, KeyEntry>,
    /// The keys in the order in which they expire, by a sequence number that is assigned at each change.
    order: BTreeMap<u64, RequestKey>,
    next_order: u64,
    bytes: usize,
}

#[derive(Debug)]
struct KeyEntry {
    body_hash: BodyHash,
    state: KeyState,
    deadline: Instant,
    order: u64,
    bytes: usize,
}

#[derive(Debug)]
enum KeyState {
    Running { holder: InstanceId, attempt: RequestId },
    Done(RecordedOutcome),
}

impl IdempotencyCache {
    /// Records the start of an attempt, unless a copy of the request is running or has finished. An attempt of a holder
    /// for which `is_live` returns false is taken as ended and is replaced.
    pub fn claim(
        &mut self,
        request: &KeyClaimRequest,
        is_live: impl Fn(&InstanceId) -> bool,
        now: Instant,
    ) -> KeyClaimOutcome {
        self.drop_expired(now);
        let mut replaces_dead = false;
        if let Some(entry) = self.entries.get(&request.key) {
            if entry.body_hash != request.body_hash {
                return KeyClaimOutcome::Mismatch;
            }
            match &entry.state {
                KeyState::Done(outcome) => return KeyClaimOutcome::Done(outcome.clone()),
                KeyState::Running { holder, attempt }
                    if *attempt != request.attempt && is_live(holder) =>
                {
                    return KeyClaimOutcome::Running { holder: holder.clone(), attempt: *attempt };
                }
                KeyState::Running { attempt, .. } => replaces_dead = *attempt != request.attempt,
            }
        }
        let state = KeyState::Running { holder: request.holder.clone(), attempt: request.attempt };
        self.insert(&request.key, request.body_hash, state, now);
        KeyClaimOutcome::Started { replaces_dead }
    }

    /// Records the outcome of the running attempt. An attempt without an outcome, or with one that is too large, is
    /// removed, so that a repeat of the request runs.
    pub fn finish(&mut self, request: &KeyFinishRequest, now: Instant) -> KeyFinishOutcome {
        self.drop_expired(now);
        let body_hash = match self.entries.get(&request.key) {
            Some(KeyEntry { body_hash, state: KeyState::Running { attempt, .. }, .. })
                if *attempt == request.attempt =>
            {
                *body_hash
            }
            _ => return KeyFinishOutcome::Ignored,
        };
        match &request.outcome {
            Some(outcome) if outcome.body.len() <= MAX_CACHED_BODY_BYTES => {
                self.insert(&request.key, body_hash, KeyState::Done(outcome.clone()), now);
                KeyFinishOutcome::Recorded
            }
            Some(_) => {
                self.remove(&request.key);
                KeyFinishOutcome::Ignored
            }
            None => {
                self.remove(&request.key);
                KeyFinishOutcome::Recorded
            }
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn insert(&mut self, key: &RequestKey, body_hash: BodyHash, state: KeyState, now: Instant) {
        self.remove(key);
        let body = match &state {
            KeyState::Done(outcome) => outcome.body.len(),
            KeyState::Running { .. } => 0,
        };
        let bytes =
            ENTRY_BYTES + 2 * (key.workspace.as_str().len() + key.key.as_str().len()) + body;
        while self.bytes + bytes > MAX_CACHE_BYTES {
            let Some(oldest) = self.order.values().next().cloned() else { break };
            self.remove(&oldest);
        }
        let order = self.next_order;
        self.next_order += 1;
        self.bytes += bytes;
        self.order.insert(order, key.clone());
        let entry = KeyEntry { body_hash, state, deadline: now + KEY_RETENTION, order, bytes };
        self.entries.insert(key.clone(), entry);
    }

    fn remove(&mut self, key: &RequestKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.order.remove(&entry.order);
            self.bytes -= entry.bytes;
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.order.values().next().cloned() {
            if self.entries.get(&oldest).is_some_and(|entry| entry.deadline > now) {
                break;
            }
            self.remove(&oldest);
        }
    }
}
