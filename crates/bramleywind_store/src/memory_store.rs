//! An in-memory store for one process that can inject faults.
//!
//! Tests of other crates use it instead of the platform's store. The key-value stand-in serves it over HTTP, so
//! that both behave the same.

mod call_counters;
mod lease_table;
mod store_faults;
mod token_bucket;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    future::poll_fn,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

pub use call_counters::CallCounters;
use lease_table::LeaseTable;
pub use store_faults::StoreFaults;
pub use token_bucket::TokenBucket;

use crate::{
    KeyedValue, Lease, LeaseOutcome, ListOutcome, NotAppliedReason, ReadOutcome, RenewOutcome,
    Store, StoreKey, StoreVersion, UnavailableReason, VersionedValue, WatchOutcome, WriteOutcome,
};

/// The maximum size of a value, in bytes. The platform's limit is about a megabyte.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// An in-memory store. Clones share one state.
///
/// ```
/// use bramleywind_store::{MemoryStore, Store, StoreKey, StoreVersion, WriteOutcome};
///
/// let store = MemoryStore::new();
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let outcome = store.write(&StoreKey::config(), b"{}".to_vec(), StoreVersion::MISSING).await;
///     assert_eq!(outcome, WriteOutcome::Applied(StoreVersion(1)));
/// });
/// ```
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<MemoryState>>,
}

#[derive(Debug)]
struct MemoryState {
    values: BTreeMap<StoreKey, StoredValue>,
    leases: LeaseTable,
    faults: StoreFaults,
    counters: CallCounters,
    read_bucket: TokenBucket,
    write_bucket: TokenBucket,
    /// The wakers of the waiting watches, by watch id. A watch removes its own entry when it ends.
    wakers: BTreeMap<u64, Option<Waker>>,
    last_watch_id: u64,
}

/// A value and its predecessor, which stale reads return.
#[derive(Debug)]
struct StoredValue {
    current: VersionedValue,
    previous: Option<VersionedValue>,
}

impl Default for MemoryState {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            leases: LeaseTable::default(),
            faults: StoreFaults::default(),
            counters: CallCounters::default(),
            read_bucket: TokenBucket::new(0),
            write_bucket: TokenBucket::new(0),
            wakers: BTreeMap::new(),
            last_watch_id: 0,
        }
    }
}

impl MemoryStore {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the active faults, with the number of answers that are still to be lost.
    pub fn faults(&self) -> StoreFaults {
        self.state.borrow().faults
    }

    /// Replaces all faults, resets the rate limits and wakes the waiting watches.
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = self.state.borrow_mut();
        state.faults = faults;
        state.read_bucket = TokenBucket::new(faults.reads_per_second);
        state.write_bucket = TokenBucket::new(faults.writes_per_second);
        state.wake_watches();
    }

    /// Returns the numbers of calls that the store has received.
    pub fn counters(&self) -> CallCounters {
        let state = self.state.borrow();
        CallCounters { waiting_watches: state.wakers.len() as u64, ..state.counters }
    }

    /// Returns the current value of a key, for assertions in tests. Not counted and not subject to faults.
    pub fn peek(&self, key: &StoreKey) -> Option<VersionedValue> {
        self.state.borrow().values.get(key).map(|stored| stored.current.clone())
    }

    /// Writes a key regardless of its version, for test fixtures. Not counted and not subject to faults.
    pub fn put(&self, key: &StoreKey, value: Vec<u8>) -> StoreVersion {
        let mut state = self.state.borrow_mut();
        let expected = state.version(key);
        state.apply_write(key, value, expected).unwrap_or(expected)
    }

    /// Admits a call that counts against the read rate, and applies the configured delay.
    async fn admit_read(
        &self,
        count: impl FnOnce(&mut CallCounters),
    ) -> Result<(), UnavailableReason> {
        let delay = {
            let mut state = self.state.borrow_mut();
            count(&mut state.counters);
            if !state.read_bucket.try_take() {
                state.counters.rate_refusals += 1;
                return Err(UnavailableReason::RateLimited);
            }
            state.check_outage()?;
            state.delay()
        };
        self.apply_delay(delay).await;
        self.state.borrow().check_outage()
    }

    /// Admits a lease call, which counts against the write rate, and applies the configured delay.
    async fn admit_lease_call(&self) -> Result<(), UnavailableReason> {
        let delay = {
            let mut state = self.state.borrow_mut();
            state.counters.lease_calls += 1;
            if !state.write_bucket.try_take() {
                state.counters.rate_refusals += 1;
                return Err(UnavailableReason::RateLimited);
            }
            state.check_outage()?;
            state.delay()
        };
        self.apply_delay(delay).await;
        self.state.borrow().check_outage()
    }

    async fn apply_delay(&self, delay: Duration) {
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
    }

    fn poll_watch(
        &self,
        context: &Context<'_>,
        key: &StoreKey,
        after: StoreVersion,
        watch: u64,
    ) -> Poll<WatchOutcome> {
        let mut state = self.state.borrow_mut();
        if let Err(reason) = state.check_outage() {
            return Poll::Ready(WatchOutcome::Unavailable(reason));
        }
        match state.values.get(key) {
            Some(stored) if stored.current.version > after => {
                Poll::Ready(WatchOutcome::Changed(stored.current.clone()))
            }
            _ => {
                state.wakers.insert(watch, Some(context.waker().clone()));
                Poll::Pending
            }
        }
    }
}

impl MemoryState {
    fn version(&self, key: &StoreKey) -> StoreVersion {
        self.values.get(key).map_or(StoreVersion::MISSING, |stored| stored.current.version)
    }

    /// Applies a compare-and-swap write. Returns the new version, or `None` if the key has a different version
    /// than expected.
    fn apply_write(
        &mut self,
        key: &StoreKey,
        value: Vec<u8>,
        expected: StoreVersion,
    ) -> Option<StoreVersion> {
        if self.version(key) != expected {
            return None;
        }
        let version = StoreVersion(expected.0 + 1);
        let current = VersionedValue { value, version };
        let previous = self.values.remove(key).map(|stored| stored.current);
        self.values.insert(key.clone(), StoredValue { current, previous });
        self.wake_watches();
        Some(version)
    }

    fn wake_watches(&mut self) {
        self.wakers.values_mut().filter_map(Option::take).for_each(Waker::wake);
    }

    fn check_outage(&self) -> Result<(), UnavailableReason> {
        if self.faults.outage { Err(UnavailableReason::Outage) } else { Ok(()) }
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.delay_ms)
    }

    fn visible_value<'a>(&self, stored: &'a StoredValue) -> Option<&'a VersionedValue> {
        if self.faults.stale_reads { stored.previous.as_ref() } else { Some(&stored.current) }
    }
}

/// The registration of a waiting watch. Dropping it removes the registration, so that a cancelled watch is neither
/// counted nor woken any longer.
struct WaitingWatch<'a> {
    store: &'a MemoryStore,
    id: u64,
}

impl<'a> WaitingWatch<'a> {
    fn new(store: &'a MemoryStore) -> Self {
        let mut state = store.state.borrow_mut();
        state.last_watch_id += 1;
        let id = state.last_watch_id;
        state.wakers.insert(id, None);
        Self { store, id }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.store.state.borrow_mut().wakers.remove(&self.id);
    }
}

impl Store for MemoryStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        if let Err(reason) = self.admit_read(|counters| counters.reads += 1).await {
            return ReadOutcome::Unavailable(reason);
        }
        let state = self.state.borrow();
        match state.values.get(key).and_then(|stored| state.visible_value(stored)) {
            Some(found) => ReadOutcome::Found(found.clone()),
            None => ReadOutcome::Missing,
        }
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        let delay = {
            let mut state = self.state.borrow_mut();
            state.counters.writes += 1;
            if !state.write_bucket.try_take() {
                state.counters.rate_refusals += 1;
                return WriteOutcome::NotApplied(NotAppliedReason::RateLimited);
            }
            if state.faults.outage {
                return WriteOutcome::NotApplied(NotAppliedReason::Outage);
            }
            if value.len() > MAX_VALUE_BYTES {
                return WriteOutcome::NotApplied(NotAppliedReason::TooLarge);
            }
            state.delay()
        };
        self.apply_delay(delay).await;
        let mut state = self.state.borrow_mut();
        if state.faults.outage {
            // The outage began after the write was sent. The writer cannot distinguish this from a lost answer.
            return WriteOutcome::Unknown;
        }
        if state.faults.apply_late_ms > 0 {
            let lateness = Duration::from_millis(state.faults.apply_late_ms);
            let (store, key) = (self.clone(), key.clone());
            compio::runtime::spawn(async move {
                compio::time::sleep(lateness).await;
                store.state.borrow_mut().apply_write(&key, value, expected);
            })
            .detach();
            return WriteOutcome::Unknown;
        }
        let applied = state.apply_write(key, value, expected);
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return WriteOutcome::Unknown;
        }
        applied.map_or(WriteOutcome::Conflict, WriteOutcome::Applied)
    }

    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome {
        if let Err(reason) = self.admit_read(|counters| counters.watches += 1).await {
            return WatchOutcome::Unavailable(reason);
        }
        let watch = WaitingWatch::new(self);
        let changed = poll_fn(|context| self.poll_watch(context, key, after, watch.id));
        compio::time::timeout_at(deadline, changed).await.unwrap_or(WatchOutcome::Unchanged)
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        if let Err(reason) = self.admit_read(|counters| counters.lists += 1).await {
            return ListOutcome::Unavailable(reason);
        }
        let state = self.state.borrow();
        let entries = state
            .values
            .range(StoreKey::from_text(prefix)..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .filter_map(|(key, stored)| {
                let entry = state.visible_value(stored)?.clone();
                Some(KeyedValue { key: key.clone(), entry })
            })
            .collect();
        ListOutcome::Found(entries)
    }

    async fn acquire_lease(
        &self,
        key: &StoreKey,
        _holder: &str,
        time_to_live: Duration,
    ) -> LeaseOutcome {
        if let Err(reason) = self.admit_lease_call().await {
            return LeaseOutcome::Unavailable(reason);
        }
        let lease = self.state.borrow_mut().leases.acquire(key, time_to_live);
        lease.map_or(LeaseOutcome::Held, LeaseOutcome::Acquired)
    }

    async fn renew_lease(&self, lease: &Lease, time_to_live: Duration) -> RenewOutcome {
        if let Err(reason) = self.admit_lease_call().await {
            return RenewOutcome::Unavailable(reason);
        }
        let renewed = self.state.borrow_mut().leases.renew(&lease.id, time_to_live);
        renewed.map_or(RenewOutcome::Lost, RenewOutcome::Renewed)
    }

    async fn release_lease(&self, lease: Lease) {
        if self.admit_lease_call().await.is_ok() {
            self.state.borrow_mut().leases.release(&lease.id);
        }
    }
}
