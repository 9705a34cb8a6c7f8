//! Clients of the platform's key-value store and instance list.
//!
//! All durable state is in the store. Callers must distinguish a write that was not applied from one whose
//! answer was lost, so the outcomes of each call are explicit types.

mod http_store;
mod instance_directory;
mod instance_list;
mod lease;
mod memory_store;
mod outcomes;
mod store_key;
mod store_trait;
mod store_version;

pub use http_store::{ClientError, HttpStore, wire};
pub use instance_directory::{DirectoryOutcome, InstanceDirectory};
pub use instance_list::{InstanceKind, InstanceList, InstanceRecord, InstanceState};
pub use lease::{Lease, LeaseOutcome, RenewOutcome};
pub use memory_store::{CallCounters, MAX_VALUE_BYTES, MemoryStore, StoreFaults, TokenBucket};
pub use outcomes::{
    KeyedValue, ListOutcome, NotAppliedReason, ReadOutcome, UnavailableReason, VersionedValue,
    WatchOutcome, WriteOutcome,
};
pub use store_key::{CLAIM_PAGE_COUNT, PAGE_COUNT, StoreKey};
pub use store_trait::Store;
pub use store_version::StoreVersion;
