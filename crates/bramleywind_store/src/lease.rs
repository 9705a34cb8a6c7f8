use std::time::Instant;

use bramleywind_types::FencingToken;

use crate::UnavailableReason;

/// A lease that this process holds as far as it knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The store's id of the lease.
    pub id: Box<str>,
    /// Grows with each holder of the same lease key.
    pub fencing: FencingToken,
    /// When the lease ends by this process's clock, measured from before the call was sent.
    pub deadline: Instant,
}

/// What an attempt to take a lease came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// This process holds the lease.
    Acquired(Lease),
    /// Another process holds it.
    Held,
    /// The store gave no answer; the lease may have been taken in this process's name.
    Unavailable(UnavailableReason),
}

/// What an attempt to renew a lease came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewOutcome {
    /// The lease now ends at this instant.
    Renewed(Instant),
    /// The lease has ended.
    Lost,
    /// The store gave no answer; the old deadline stands.
    Unavailable(UnavailableReason),
}
