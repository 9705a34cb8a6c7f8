use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Instant,
};

use bramleywind_routing::{LoadReport, SmoothedValue};

use super::{ConnectionPool, EndpointHealth, EndpointRecord, InFlightGuard, PrefixTracker};
use crate::rate_limits::{PermitBucket, RateLimit};

/// Weight of a new sample in the smoothed latency of an endpoint. A few samples change the average, and a single slow
/// request does not.
const PACE_SAMPLE_WEIGHT: f64 = 0.25;

/// Holds one endpoint of the registry and this process's observations of it.
#[derive(Debug)]
pub struct Endpoint {
    record: RefCell<EndpointRecord>,
    pub(super) in_flight: Cell<u32>,
    pub(super) backlog_tokens: Cell<u64>,
    pub(super) pace_ms: RefCell<SmoothedValue>,
    prefix_tracker: RefCell<PrefixTracker>,
    load: Cell<Option<(LoadReport, Instant)>>,
    health: RefCell<EndpointHealth>,
    pool: RefCell<ConnectionPool>,
    is_removed: Cell<bool>,
    /// When the endpoint last sent something.
    active_at: Cell<Option<Instant>>,
    /// When the endpoint got the latest request that it answered without saying that it is shutting down.
    answered_at: Cell<Option<Instant>>,
    /// Whether the endpoint has said in an answer that it is shutting down.
    has_announced_leaving: Cell<bool>,
    /// Until when the endpoint wants no request from this process.
    paused_until: Cell<Option<Instant>>,
    rate_limit: RefCell<RateLimit>,
    /// The permits that this process issues for requests to the endpoint.
    permits: RefCell<PermitBucket>,
    /// Until when no permit is to be had, by the rank of the request that got none.
    denied_until: RefCell<BTreeMap<u32, Instant>>,
}

impl Endpoint {
    /// Creates an endpoint that has just appeared in the registry, without observations.
    pub fn new(record: EndpointRecord) -> Self {
        Self {
            record: RefCell::new(record),
            in_flight: Cell::new(0),
            backlog_tokens: Cell::new(0),
            pace_ms: RefCell::new(SmoothedValue::new(PACE_SAMPLE_WEIGHT)),
            prefix_tracker: RefCell::default(),
            load: Cell::new(None),
            health: RefCell::default(),
            pool: RefCell::default(),
            is_removed: Cell::new(false),
            active_at: Cell::new(None),
            answered_at: Cell::new(None),
            has_announced_leaving: Cell::new(false),
            paused_until: Cell::new(None),
            rate_limit: RefCell::default(),
            permits: RefCell::new(PermitBucket::new(Instant::now())),
            denied_until: RefCell::default(),
        }
    }

    /// The endpoint's latest registry entry.
    pub fn record(&self) -> std::cell::Ref<'_, EndpointRecord> {
        self.record.borrow()
    }

    /// Replaces the registry entry by a newer one from the same start of the endpoint.
    pub(super) fn update(&self, record: EndpointRecord) {
        *self.record.borrow_mut() = record;
    }

    /// Marks the endpoint as removed from the registry and closes its idle connections.
    pub(super) fn mark_removed(&self) {
        self.is_removed.set(true);
        self.pool.borrow_mut().clear();
    }

    /// Returns whether the endpoint accepts new requests.
    pub fn is_open(&self) -> bool {
        !self.is_removed.get()
            && !self.has_announced_leaving.get()
            && !self.record.borrow().is_leaving
    }

    /// Records that the endpoint sent something.
    pub fn record_activity(&self, now: Instant) {
        self.active_at.set(Some(now));
    }

    /// Records that the endpoint answered a request that was sent to it at `sent_at`, and did not say that it is shutting down.
    pub fn record_open_answer(&self, sent_at: Instant) {
        self.answered_at.set(self.answered_at.get().max(Some(sent_at)));
    }

    /// When the endpoint got the latest request that it answered without saying that it is shutting down.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at.get()
    }

    /// Returns whether the endpoint has sent nothing since `since`.
    pub fn is_silent_since(&self, since: Instant) -> bool {
        self.active_at.get().is_none_or(|at| at <= since)
    }

    /// Sends no new requests to the endpoint, which has said in an answer that it is shutting down. Its next start is
    /// another [`Endpoint`]. Returns whether that is news.
    pub fn announce_leaving(&self) -> bool {
        self.pool.borrow_mut().clear();
        let was_open = self.is_open();
        self.has_announced_leaving.set(true);
        was_open
    }

    /// Sends no requests to the endpoint until `until`, since it asked for that.
    pub fn pause_until(&self, until: Instant) {
        self.paused_until.set(self.paused_until.get().max(Some(until)));
    }

    /// The rate of requests that the endpoint takes from all gateways together.
    pub fn rate_limit(&self) -> &RefCell<RateLimit> {
        &self.rate_limit
    }

    /// The permits that this process issues for requests to the endpoint while it limits them.
    pub fn permits(&self) -> &RefCell<PermitBucket> {
        &self.permits
    }

    /// Sends no requests of this rank, or less urgent ones, to the endpoint until `until`, since there was no permit for one.
    pub fn deny_until(&self, rank: u32, until: Instant) {
        self.denied_until.borrow_mut().insert(rank, until);
    }

    /// Lets requests be sent without permits: the endpoint takes any rate.
    pub fn end_denials(&self) {
        self.denied_until.borrow_mut().clear();
    }

    /// The time at which requests of a rank may be sent to the endpoint again, if they may not now: it asked for a pause, or
    /// there was no permit for a request that was as urgent.
    pub fn opens_at(&self, rank: u32, now: Instant) -> Option<Instant> {
        let denied_until = self.denied_until.borrow();
        let denials = denied_until.range(..=rank).map(|(_, until)| *until);
        denials.chain(self.paused_until.get()).filter(|until| now < *until).max()
    }

    /// Number of this process's requests that the endpoint has not finished answering.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Number of prompt tokens that the endpoint still has to prefill for this process's requests, until their first
    /// events.
    pub fn backlog_tokens(&self) -> u64 {
        self.backlog_tokens.get()
    }

    /// Smoothed latency in milliseconds: for each thousand prompt tokens, or for a request without a prompt. `None`
    /// before the first response.
    pub fn pace_ms(&self) -> Option<f64> {
        self.pace_ms.borrow().current()
    }

    /// The tracker of the prompt prefixes that the endpoint recently prefilled for this process.
    pub fn prefix_tracker(&self) -> &RefCell<PrefixTracker> {
        &self.prefix_tracker
    }

    /// The endpoint's last load report and when it arrived.
    pub fn load(&self) -> Option<(LoadReport, Instant)> {
        self.load.get()
    }

    /// Stores a load report that arrived at `now`.
    pub fn set_load(&self, load: LoadReport, now: Instant) {
        self.load.set(Some((load, now)));
    }

    /// The health of the endpoint, derived from the outcomes of its last requests.
    pub fn health(&self) -> &RefCell<EndpointHealth> {
        &self.health
    }

    /// The pool of idle connections to the endpoint.
    pub fn pool(&self) -> &RefCell<ConnectionPool> {
        &self.pool
    }

    /// Counts a request to the endpoint until the guard is dropped. `prompt_tokens` is the number of tokens to prefill,
    /// or `None` for a request without a prompt.
    pub fn track_request(
        self: &Rc<Self>,
        prompt_tokens: Option<u64>,
        now: Instant,
    ) -> InFlightGuard {
        InFlightGuard::new(Rc::clone(self), prompt_tokens, now)
    }
}
