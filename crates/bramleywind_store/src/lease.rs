use std::time::Instant;

use bramleywind_types::FencingToken;

use crate::UnavailableReason;

/// A lease that this process holds, as far as it knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The id that the store assigned to the lease.
    pub id: Box<str>,
    /// The fencing token, which increases with each acquisition of the same lease key.
    pub fencing: FencingToken,
    /// The time at which the lease ends by this process's clock, measured from before the call was sent.
    pub deadline: Instant,
}

/// The outcome of an attempt to acquire a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// This process holds the lease.
    Acquired(Lease),
    /// Another process holds it.
    Held,
    /// The store gave no usable answer. The lease may have been acquired in this process's name.
    Unavailable(UnavailableReason),
}

/// The outcome of an attempt to renew a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewOutcome {
    /// The lease now ends at this instant.
    Renewed(Instant),
    /// The lease has ended.
    Lost,
    /// The store gave no usable answer. The previous deadline remains valid.
    Unavailable(UnavailableReason),
}
