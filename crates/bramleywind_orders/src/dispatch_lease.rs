use std::time::Instant;

use bramleywind_store::Lease;
use bramleywind_types::FencingToken;

use crate::{DispatchTiming, SendWindow};

/// The lease of the duty as this process knows it.
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
    /// When an engine that ignores the fencing token may get the first order.
    settled_at: Instant,
    renewal_due: Instant,
    /// False from a renewal without an answer to the next one with an answer.
    is_confirmed: bool,
}

/// Whether an order may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// It may, with this token and within this window.
    Allowed(FencingToken, SendWindow),
    /// This process does not hold the lease, or not for long enough.
    NoLease,
    /// The store did not answer the last renewal.
    Unconfirmed,
    /// The engine ignores tokens, and orders of the previous holder may still be on their way until then.
    Settling(Instant),
}

impl DispatchLease {
    /// No lease.
    pub fn new(timing: DispatchTiming) -> Self {
        Self { timing, held: None }
    }

    /// Takes over a lease that was acquired. `now` is a time after the answer.
    pub fn set_acquired(&mut self, lease: Lease, now: Instant) {
        self.held = (now < lease.deadline).then(|| HeldLease {
            settled_at: now + self.timing.settle_time(),
            renewal_due: self.next_renewal(&lease),
            lease,
            is_confirmed: true,
        });
    }

    /// Takes in a renewal that was answered.
    pub fn set_renewed(&mut self, deadline: Instant) {
        if let Some(held) = &mut self.held {
            held.lease.deadline = deadline;
            held.is_confirmed = true;
            held.renewal_due = deadline - self.timing.lease_time + self.timing.renewal_time;
        }
    }

    /// Takes in a renewal without an answer: no order is sent until one is answered.
    pub fn set_unconfirmed(&mut self) {
        if let Some(held) = &mut self.held {
            held.is_confirmed = false;
        }
    }

    /// Makes the next renewal due at once, because an engine said that there is a newer holder.
    pub fn require_renewal(&mut self, now: Instant) {
        if let Some(held) = &mut self.held {
            held.renewal_due = now;
            held.is_confirmed = false;
        }
    }

    /// Forgets the lease, and returns it.
    pub fn take(&mut self) -> Option<Lease> {
        self.held.take().map(|held| held.lease)
    }

    /// The lease, while it lasts.
    pub fn current(&self, now: Instant) -> Option<&Lease> {
        let held = self.held.as_ref().filter(|held| now < held.lease.deadline)?;
        Some(&held.lease)
    }

    /// Whether the lease should be renewed.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        self.held.as_ref().is_some_and(|held| !held.is_confirmed || now >= held.renewal_due)
    }

    /// Decides whether an order may be sent. The call ends before the lease does, with a margin, and the last
    /// look before the write to the socket must fall into the window.
    pub fn send_decision(&self, now: Instant, checks_fencing: bool) -> SendDecision {
        let Some(held) = &self.held else { return SendDecision::NoLease };
        let timing = &self.timing;
        if now + timing.order_time + timing.margin > held.lease.deadline {
            return SendDecision::NoLease;
        }
        if !held.is_confirmed {
            return SendDecision::Unconfirmed;
        }
        if !checks_fencing && now < held.settled_at {
            return SendDecision::Settling(held.settled_at);
        }
        let window = SendWindow {
            latest_write: held.lease.deadline - timing.order_time - timing.margin,
            deadline: now + timing.order_time,
        };
        SendDecision::Allowed(held.lease.fencing, window)
    }

    fn next_renewal(&self, lease: &Lease) -> Instant {
        lease.deadline - self.timing.lease_time + self.timing.renewal_time
    }
}
