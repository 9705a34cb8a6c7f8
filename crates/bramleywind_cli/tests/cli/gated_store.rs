use std::time::{Duration, Instant};

use bramleywind_store::{
    Lease, LeaseOutcome, ListOutcome, MemoryStore, ReadOutcome, RenewOutcome, Store, StoreKey,
    StoreVersion, WatchOutcome, WriteOutcome,
};

/// A store that delays writes until it has answered a number of reads, so that concurrent writers have all
/// read the same version, however slow the machine is.
#[derive(Debug, Clone)]
pub(crate) struct GatedStore {
    pub(crate) store: MemoryStore,
    pub(crate) min_reads: u64,
}

impl Store for GatedStore {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        self.store.read(key).await
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        while self.store.counters().reads < self.min_reads {
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        self.store.write(key, value, expected).await
    }

    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome {
        self.store.watch(key, after, deadline).await
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        self.store.list(prefix).await
    }

    async fn acquire_lease(&self, key: &StoreKey, holder: &str, ttl: Duration) -> LeaseOutcome {
        self.store.acquire_lease(key, holder, ttl).await
    }

    async fn renew_lease(&self, lease: &Lease, ttl: Duration) -> RenewOutcome {
        self.store.renew_lease(lease, ttl).await
    }

    async fn release_lease(&self, lease: Lease) {
        self.store.release_lease(lease).await;
    }
}
