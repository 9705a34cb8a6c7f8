//! The queries, documents and headers of the key-value protocol, shared by the client and the stand-in.

use bramleywind_macros::domain_type;
use bramleywind_types::FencingToken;

use crate::StoreVersion;

/// The header that carries a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// The query of a compare-and-swap write.
#[domain_type]
pub struct WriteQuery {
    /// The version that the key must have, or zero if it must not exist.
    pub expect: StoreVersion,
}

/// The query of a read. With `after`, the read is a watch.
#[domain_type]
pub struct ReadQuery {
    /// The watch waits for a version newer than this one.
    pub after: Option<StoreVersion>,
    /// The maximum time to wait, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// The query of a listing.
#[domain_type]
pub struct ListQuery {
    /// The prefix of the listed keys.
    #[serde(default)]
    pub prefix: Box<str>,
}

/// One entry of a listing.
#[domain_type]
pub struct ListEntry {
    /// The key.
    pub key: Box<str>,
    /// The version of the value.
    pub version: StoreVersion,
    /// The value in standard base64.
    pub value: Box<str>,
}

/// The query that acquires a lease.
#[domain_type]
pub struct LeaseQuery {
    /// The key of the lease.
    pub key: Box<str>,
    /// The name of the process that acquires the lease, for diagnostics.
    pub holder: Box<str>,
    /// The time to live of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// The query that renews a lease.
#[domain_type]
pub struct RenewQuery {
    /// The time to live of the lease from now, in milliseconds. If absent, the previous one applies.
    pub ttl_ms: Option<u64>,
}

/// The response to the acquisition of a lease.
#[domain_type]
pub struct LeaseGrant {
    /// The id of the lease.
    pub lease: Box<str>,
    /// The fencing token of this holder.
    pub fencing: FencingToken,
}
