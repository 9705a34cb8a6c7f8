use std::time::{Duration, Instant};

use bramleywind_store::{
    Lease, LeaseOutcome, ListOutcome, ReadOutcome, RenewOutcome, Store, StoreKey, StoreVersion,
    WatchOutcome, WriteOutcome,
};
use prometheus_client::metrics::{counter::Counter, family::Family};

use crate::StoreLabel;

/// A store wrapper that counts calls by kind and outcome.
#[derive(Debug, Clone)]
pub struct MeteredStore<S> {
    store: S,
    calls: Family<StoreLabel, Counter>,
}

impl<S> MeteredStore<S> {
    /// Wraps `store` and counts its calls in `calls`.
    pub fn new(store: S, calls: Family<StoreLabel, Counter>) -> Self {
        Self { store, calls }
    }

    fn count(&self, call: &'static str, outcome: &'static str) {
        self.calls.get_or_create(&StoreLabel { call, outcome }).inc();
    }
}

impl<S: Store> Store for MeteredStore<S> {
    async fn read(&self, key: &StoreKey) -> ReadOutcome {
        let outcome = self.store.read(key).await;
        let name = match &outcome {
            ReadOutcome::Found(_) => "found",
            ReadOutcome::Missing => "missing",
            ReadOutcome::Unavailable(_) => "unavailable",
        };
        self.count("read", name);
        outcome
    }

    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome {
        let outcome = self.store.write(key, value, expected).await;
        let name = match &outcome {
            WriteOutcome::Applied(_) => "applied",
            WriteOutcome::Conflict => "conflict",
            WriteOutcome::NotApplied(_) => "not_applied",
            WriteOutcome::Unknown => "unknown",
        };
        self.count("write", name);
        outcome
    }

    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome {
        let outcome = self.store.watch(key, after, deadline).await;
        let name = match &outcome {
            WatchOutcome::Changed(_) => "changed",
            WatchOutcome::Unchanged => "unchanged",
            WatchOutcome::Unavailable(_) => "unavailable",
        };
        self.count("watch", name);
        outcome
    }

    async fn list(&self, prefix: &str) -> ListOutcome {
        let outcome = self.store.list(prefix).await;
        let name = match &outcome {
            ListOutcome::Found(_) => "found",
            ListOutcome::Unavailable(_) => "unavailable",
        };
        self.count("list", name);
        outcome
    }

    async fn acquire_lease(
        &self,
        key: &StoreKey,
        holder: &str,
        time_to_live: Duration,
    ) -> LeaseOutcome {
        let outcome = self.store.acquire_lease(key, holder, time_to_live).await;
        let name = match &outcome {
            LeaseOutcome::Acquired(_) => "acquired",
            LeaseOutcome::Held => "held",
            LeaseOutcome::Unavailable(_) => "unavailable",
        };
        self.count("acquire_lease", name);
        outcome
    }

    async fn renew_lease(&self, lease: &Lease, time_to_live: Duration) -> RenewOutcome {
        let outcome = self.store.renew_lease(lease, time_to_live).await;
        let name = match &outcome {
            RenewOutcome::Renewed(_) => "renewed",
            RenewOutcome::Lost => "lost",
            RenewOutcome::Unavailable(_) => "unavailable",
        };
        self.count("renew_lease", name);
        outcome
    }

    async fn release_lease(&self, lease: Lease) {
        self.store.release_lease(lease).await;
        self.count("release_lease", "sent");
    }
}
