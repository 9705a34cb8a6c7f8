use std::time::Instant;

use bramleywind_store::Lease;
use bramleywind_types::FencingToken;

use crate::{DispatchTiming, SendWindow};

/// This process's local view of the lease that entitles its holder to dispatch orders.
///
/// ```
/// use std::time::{Duration, Instant};
/// use bramleywind_orders::{DispatchLease, DispatchTiming, SendDecision};
/// use bramleywind_store::Lease;
/// use bramleywind_types::FencingToken;
///
/// let now = Instant::now();
/// let mut held = DispatchLease::new(DispatchTiming::default());
/// assert_eq!(held.send_decision(now, true), SendDecision::NoLease);
/// let deadline = now + Duration::from_secs(15);
/// held.set_acquired(Lease { id: "lease-1".into(), fencing: FencingToken(3), deadline }, now);
/// assert!(matches!(held.send_decision(now, true), SendDecision::Allowed(FencingToken(3), _)));
/// assert!(matches!(held.send_decision(now, false), SendDecision::Settling(_)));
/// assert_eq!(held.send_decision(deadline, true), SendDecision::NoLease);
/// ```
#[derive(Debug, Clone)]
pub struct DispatchLease {
    timing: DispatchTiming,
    held: Option<HeldLease>,
}

#[derive(Debug, Clone)]
struct HeldLease {
    lease: Lease,
    /// The earliest time for an order to an engine that ignores fencing tokens.
    settled_at: Instant,
    renewal_due: Instant,
    /// False after a renewal that got no answer or after [`DispatchLease::require_renewal`], until a renewal
    /// succeeds.
    is_confirmed: bool,
}

/// The decision whether an order may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// The order may be sent with this fencing token and within this window.
    Allowed(FencingToken, SendWindow),
    /// This process does not hold the lease, or the lease ends too soon.
    NoLease,
    /// The lease must be renewed first: the store did not answer the last renewal, or an engine reported a newer
    /// holder.
    Unconfirmed,
    /// The engine ignores fencing tokens, and orders of the previous holder may be in flight until this time.
    Settling(Instant),
}

impl DispatchLease {
    /// Creates the state of a process that does not hold the lease.
    pub fn new(timing: DispatchTiming) -> Self {
        Self { timing, held: None }
    }

    /// Stores an acquired lease, unless it has already ended. `now` must be read after the store's answer
    /// arrived.
    pub fn set_acquired(&mut self, lease: Lease, now: Instant) {
        self.held = (now < lease.deadline).then(|| HeldLease {
            settled_at: now + self.timing.settle_time(),
            renewal_due: self.next_renewal(&lease),
            lease,
            is_confirmed: true,
        });
    }

    /// Records a successful renewal that extends the lease to `deadline`.
    pub fn set_renewed(&mut self, deadline: Instant) {
        if let Some(held) = &mut self.held {
            held.lease.deadline = deadline;
            held.is_confirmed = true;
            held.renewal_due = deadline - self.timing.lease_time + self.timing.renewal_interval;
        }
    }

    /// Records a renewal that got no answer. No order may be sent until a renewal succeeds.
    pub fn set_unconfirmed(&mut self) {
        if let Some(held) = &mut self.held {
            held.is_confirmed = false;
        }
    }

    /// Makes the next renewal due at once, because an engine reported a newer holder. No order may be sent until
    /// the renewal succeeds.
    pub fn require_renewal(&mut self, now: Instant) {
        if let Some(held) = &mut self.held {
            held.renewal_due = now;
            held.is_confirmed = false;
        }
    }

    /// Removes the lease and returns it.
    pub fn take(&mut self) -> Option<Lease> {
        self.held.take().map(|held| held.lease)
    }

    /// Returns the lease if it has not ended.
    pub fn current(&self, now: Instant) -> Option<&Lease> {
        let held = self.held.as_ref().filter(|held| now < held.lease.deadline)?;
        Some(&held.lease)
    }

    /// Reports whether the lease should be renewed now.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        self.held.as_ref().is_some_and(|held| !held.is_confirmed || now >= held.renewal_due)
    }

    /// Decides whether an order may be sent now. The call must end a margin before the lease does, and the last
    /// check before the write to the socket must fall within the returned window.
    pub fn send_decision(&self, now: Instant, checks_fencing: bool) -> SendDecision {
        let Some(held) = &self.held else { return SendDecision::NoLease };
        let timing = &self.timing;
        if now + timing.order_timeout + timing.margin > held.lease.deadline {
            return SendDecision::NoLease;
        }
        if !held.is_confirmed {
            return SendDecision::Unconfirmed;
        }
        if !checks_fencing && now < held.settled_at {
            return SendDecision::Settling(held.settled_at);
        }
        let window = SendWindow {
            latest_write: held.lease.deadline - timing.order_timeout - timing.margin,
            deadline: now + timing.order_timeout,
        };
        SendDecision::Allowed(held.lease.fencing, window)
    }

    fn next_renewal(&self, lease: &Lease) -> Instant {
        lease.deadline - self.timing.lease_time + self.timing.renewal_interval
    }
}
