use std::time::{Duration, Instant};

use crate::{
    Lease, LeaseOutcome, ListOutcome, ReadOutcome, RenewOutcome, StoreKey, StoreVersion,
    WatchOutcome, WriteOutcome,
};

/// A client of the platform's key-value store.
///
/// Each method makes one call, which counts against the store's rate limits and ends by a deadline that the
/// implementation sets. The futures are not `Send`, because the runtime keeps a connection on its thread.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait Store {
    /// Reads a key. The value may be stale; a write that expects a stale version conflicts.
    async fn read(&self, key: &StoreKey) -> ReadOutcome;

    /// Writes a key if it has the expected version. [`StoreVersion::MISSING`] creates the key.
    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome;

    /// Waits until the key has a version newer than `after`, or until `deadline`.
    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome;

    /// Lists all keys that begin with `prefix`, with their values.
    async fn list(&self, prefix: &str) -> ListOutcome;

    /// Acquires the lease of `key` for `holder` if nobody holds it.
    async fn acquire_lease(
        &self,
        key: &StoreKey,
        holder: &str,
        time_to_live: Duration,
    ) -> LeaseOutcome;

    /// Extends a lease by `time_to_live` from now.
    async fn renew_lease(&self, lease: &Lease, time_to_live: Duration) -> RenewOutcome;

    /// Releases a lease. Returns no outcome, because a lease that is not released expires by itself.
    async fn release_lease(&self, lease: Lease);
}
