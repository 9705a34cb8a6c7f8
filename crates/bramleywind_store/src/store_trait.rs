use std::time::{Duration, Instant};

use crate::{
    Lease, LeaseOutcome, ListOutcome, ReadOutcome, RenewOutcome, StoreKey, StoreVersion,
    WatchOutcome, WriteOutcome,
};

/// The platform's key-value store.
///
/// Each method is one call against the store's rate limits, and ends by a deadline of the implementation's.
/// Futures are not `Send`: the runtime keeps a connection on its thread.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait Store {
    /// Reads a key. The answer may be stale; a write that expects a stale version conflicts.
    async fn read(&self, key: &StoreKey) -> ReadOutcome;

    /// Writes a key if it has the expected version; [`StoreVersion::MISSING`] creates it.
    async fn write(&self, key: &StoreKey, value: Vec<u8>, expected: StoreVersion) -> WriteOutcome;

    /// Waits until the key has a newer version than `after`, at most until `deadline`.
    async fn watch(&self, key: &StoreKey, after: StoreVersion, deadline: Instant) -> WatchOutcome;

    /// Lists all keys that begin with `prefix`, with their values.
    async fn list(&self, prefix: &str) -> ListOutcome;

    /// Takes the lease of `key` for `holder`, if nobody holds it.
    async fn acquire_lease(
        &self,
        key: &StoreKey,
        holder: &str,
        time_to_live: Duration,
    ) -> LeaseOutcome;

    /// Extends a lease by `time_to_live` from now.
    async fn renew_lease(&self, lease: &Lease, time_to_live: Duration) -> RenewOutcome;

    /// Gives a lease back. The answer does not matter: a lease that is not released ends by itself.
    async fn release_lease(&self, lease: Lease);
}
