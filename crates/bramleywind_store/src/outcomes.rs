//! What each call of the store can come to. They are small and used together, so they stand in one file.

use crate::{StoreKey, StoreVersion};

/// A value with the version that the store gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// The bytes.
    pub value: Vec<u8>,
    /// The version to expect in the next write.
    pub version: StoreVersion,
}

/// One entry of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedValue {
    /// The key.
    pub key: StoreKey,
    /// Its value and version.
    pub entry: VersionedValue,
}

/// Why the store gave no answer to a call that changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The store refused the call for its rate limit.
    RateLimited,
    /// The store said that it is unavailable, or could not be connected to.
    Outage,
    /// The answer did not come before the deadline.
    Timeout,
    /// The answer was not understood.
    Malformed,
}

/// What a read came to. The value may be stale.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The key has this value.
    Found(VersionedValue),
    /// The key has no value.
    Missing,
    /// The store gave no answer.
    Unavailable(UnavailableReason),
}

/// Why a write is known not to have been applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotAppliedReason {
    /// The store refused the call for its rate limit.
    RateLimited,
    /// The store said that it is unavailable, or could not be connected to.
    Outage,
    /// The value is larger than the store holds.
    TooLarge,
}

/// What a compare-and-swap came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The value was written and has this version.
    Applied(StoreVersion),
    /// The key has another version than expected; nothing was written.
    Conflict,
    /// Nothing was written, and nothing will be.
    NotApplied(NotAppliedReason),
    /// The answer was lost: the write may have been applied, or may still be.
    Unknown,
}

/// What a watch came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key has a newer value.
    Changed(VersionedValue),
    /// Nothing changed before the deadline.
    Unchanged,
    /// The store gave no answer.
    Unavailable(UnavailableReason),
}

/// What a listing came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListOutcome {
    /// All keys with the prefix, in order.
    Found(Vec<KeyedValue>),
    /// The store gave no answer.
    Unavailable(UnavailableReason),
}
