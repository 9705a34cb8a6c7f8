//! Access to the platform's key-value store and instance list.
//!
//! The store is the only place where state lasts, so its outcomes are spelled out here: callers must
//! distinguish a write that was not applied from one whose answer was lost.

mod lease;
mod memory_store;
mod outcomes;
mod store_key;
mod store_trait;
mod store_version;

pub use lease::{Lease, LeaseOutcome, RenewOutcome};
pub use memory_store::{CallCounters, MAX_VALUE_BYTES, MemoryStore, StoreFaults};
pub use outcomes::{
    KeyedValue, ListOutcome, NotAppliedReason, ReadOutcome, UnavailableReason, VersionedValue,
    WatchOutcome, WriteOutcome,
};
pub use store_key::{PAGE_COUNT, StoreKey};
pub use store_trait::Store;
pub use store_version::StoreVersion;
