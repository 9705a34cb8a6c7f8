//! The outcomes of the store's calls on keys, in one file because they are small and used together.

use crate::{StoreKey, StoreVersion};

/// A value with the version that the store gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// The value as bytes.
    pub value: Vec<u8>,
    /// The version to expect in the next write.
    pub version: StoreVersion,
}

/// One entry of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedValue {
    /// The key.
    pub key: StoreKey,
    /// The value of the key and its version.
    pub entry: VersionedValue,
}

/// The reason why the store gave no usable answer to a call other than a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The store refused the call for its rate limit.
    RateLimited,
    /// The store reported that it is unavailable, or the connection could not be made or broke.
    Outage,
    /// No answer arrived before the deadline.
    Timeout,
    /// The answer could not be parsed, or its HTTP status was unexpected.
    Malformed,
    /// The answer is larger than any that is expected.
    TooLarge,
}

/// The outcome of a read. The value may be stale.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The key has this value.
    Found(VersionedValue),
    /// The key has no value.
    Missing,
    /// The store gave no answer.
    Unavailable(UnavailableReason),
}

/// The reason why a write was provably not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotAppliedReason {
    /// The store refused the call for its rate limit.
    RateLimited,
    /// The store reported that it is unavailable, or the connection could not be made.
    Outage,
    /// The value exceeds the store's size limit.
    TooLarge,
}

/// The outcome of a compare-and-swap write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The value was written and has this version.
    Applied(StoreVersion),
    /// The key has a different version than expected. Nothing was written.
    Conflict,
    /// The write was not applied and will not be applied later.
    NotApplied(NotAppliedReason),
    /// The answer was lost. The write may have been applied, or may still be applied later.
    Unknown,
}

/// The outcome of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key has a newer value.
    Changed(VersionedValue),
    /// The value did not change before the deadline.
    Unchanged,
    /// The store gave no answer.
    Unavailable(UnavailableReason),
}

/// The outcome of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListOutcome {
    /// All keys with the prefix, in order.
    Found(Vec<KeyedValue>),
    /// The store gave no answer.
    Unavailable(UnavailableReason),
}
