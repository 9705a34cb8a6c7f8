use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use bramleywind_http::TrafficTotals;

use super::{AdmissionDecision, AdmissionInput, InstanceLimits, LinkDelays, LinkMeter};

/// The delay of the link from which on no new connections are accepted. Requests on them could neither be read nor refused in
/// time.
pub const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(60);

/// How long no connections are accepted then. It is longer than a burst of arrivals, and short compared to the time after
/// which an instance that takes no connections counts as failed.
const PAUSE_TIME: Duration = Duration::from_millis(300);

/// The longest time without accepted connections. An instance that accepts none for some seconds counts as failed.
const MAX_PAUSE_TIME: Duration = Duration::from_millis(1_500);

/// The load of this instance's link and memory.
#[derive(Debug)]
pub struct AdmissionControl {
    limits: InstanceLimits,
    /// The meters of the received and sent bytes, if the rate of the link is known.
    meters: Option<RefCell<(LinkMeter, LinkMeter)>>,
    /// Until when no new connections are accepted.
    paused_until: Cell<Option<Instant>>,
    /// When a connection is accepted again, even if the link is saturated.
    accepts_from: Cell<Option<Instant>>,
}

impl AdmissionControl {
    /// Creates the control of an instance without load.
    pub fn new(limits: InstanceLimits, now: Instant) -> Self {
        let meters = limits
            .link
            .map(|rate| RefCell::new((LinkMeter::new(rate, now), LinkMeter::new(rate, now))));
        Self { limits, meters, paused_until: Cell::new(None), accepts_from: Cell::new(None) }
    }

    /// Updates the load of the link, and returns its delays.
    pub fn record_traffic(&self, totals: TrafficTotals, now: Instant) -> LinkDelays {
        let Some(meters) = &self.meters else { return LinkDelays::default() };
        let mut meters = meters.borrow_mut();
        meters.0.record(totals.received, now);
        meters.1.record(totals.sent, now);
        LinkDelays { received: meters.0.delay(), sent: meters.1.delay() }
    }

    /// Decides whether a request of this rank is served while `open_requests` others are.
    pub fn decide(&self, rank: u32, open_requests: usize, delays: LinkDelays) -> AdmissionDecision {
        AdmissionDecision::decide(&AdmissionInput {
            rank,
            open_requests,
            max_requests: self.limits.max_requests(),
            link_delay: delays.longest(),
        })
    }

    /// Returns whether new connections are accepted.
    pub fn takes_connections(&self, delays: LinkDelays, now: Instant) -> bool {
        if self.paused_until.get().is_some_and(|until| now < until) {
            return false;
        }
        let is_overloaded = delays.longest() > MAX_ACCEPT_DELAY;
        let is_due = self.accepts_from.get().is_some_and(|from| now >= from);
        if !is_overloaded || is_due {
            self.paused_until.set(None);
            self.accepts_from.set(None);
            return true;
        }
        self.paused_until.set(Some(now + PAUSE_TIME));
        let accepts_from = self.accepts_from.get().unwrap_or(now + MAX_PAUSE_TIME);
        self.accepts_from.set(Some(accepts_from));
        false
    }

    /// Returns whether a caller's connection may stay open after its response, while `connections` are open.
    pub fn keeps_connection(&self, connections: usize, now: Instant) -> bool {
        let is_paused = self.paused_until.get().is_some_and(|until| now < until);
        !is_paused && connections <= self.limits.max_kept_connections()
    }
}
