//! The documents and headers of the key-value protocol, shared by client and stand-in.

use bramleywind_macros::domain_type;
use bramleywind_types::FencingToken;

use crate::StoreVersion;

/// The header that carries a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// The query of a compare-and-swap.
#[domain_type]
pub struct WriteQuery {
    /// The version that the key must have; zero if it must not exist.
    pub expect: StoreVersion,
}

/// The query of a read, which is a watch if `after` is given.
#[domain_type]
pub struct ReadQuery {
    /// Wait for a version newer than this one.
    pub after: Option<StoreVersion>,
    /// How long to wait, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// The query of a listing.
#[domain_type]
pub struct ListQuery {
    /// The beginning of the keys.
    #[serde(default)]
    pub prefix: Box<str>,
}

/// One entry of a listing.
#[domain_type]
pub struct ListEntry {
    /// The key.
    pub key: Box<str>,
    /// Its version.
    pub version: StoreVersion,
    /// Its value in standard base64.
    pub value: Box<str>,
}

/// The query of a lease's acquisition.
#[domain_type]
pub struct LeaseQuery {
    /// The key of the lease.
    pub key: Box<str>,
    /// Who takes it, for diagnostics.
    pub holder: Box<str>,
    /// How long it runs, in milliseconds.
    pub ttl_ms: u64,
}

/// The query of a lease's renewal.
#[domain_type]
pub struct RenewQuery {
    /// How long the lease runs from now, in milliseconds; as long as before if absent.
    pub ttl_ms: Option<u64>,
}

/// The answer to a lease's acquisition.
#[domain_type]
pub struct LeaseGrant {
    /// The id of the lease.
    pub lease: Box<str>,
    /// The fencing token of this holder.
    pub fencing: FencingToken,
}
