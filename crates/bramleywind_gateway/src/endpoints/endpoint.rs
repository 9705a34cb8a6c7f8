use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use bramleywind_routing::{LoadReport, SmoothedValue};

use super::{ConnectionPool, EndpointHealth, EndpointRecord, PrefixTracker, InFlightGuard};

/// How much a new sample of an endpoint's pace counts: a few samples settle it, and one slow request does not.
const PACE_WEIGHT: f64 = 0.25;

/// One endpoint of the registry, and what this process has seen of it.
#[derive(Debug)]
pub struct Endpoint {
    record: RefCell<EndpointRecord>,
    pub(super) in_flight: Cell<u32>,
    pub(super) backlog_tokens: Cell<u64>,
    pub(super) pace_ms: RefCell<SmoothedValue>,
    prefixes: RefCell<PrefixTracker>,
    load: Cell<Option<(LoadReport, Instant)>>,
    health: RefCell<EndpointHealth>,
    pool: RefCell<ConnectionPool>,
    is_removed: Cell<bool>,
}

impl Endpoint {
    /// An endpoint that has just appeared.
    pub fn new(record: EndpointRecord) -> Self {
        Self {
            record: RefCell::new(record),
            in_flight: Cell::new(0),
            backlog_tokens: Cell::new(0),
            pace_ms: RefCell::new(SmoothedValue::new(PACE_WEIGHT)),
            prefixes: RefCell::default(),
            load: Cell::new(None),
            health: RefCell::default(),
            pool: RefCell::default(),
            is_removed: Cell::new(false),
        }
    }

    /// What it says of itself.
    pub fn record(&self) -> std::cell::Ref<'_, EndpointRecord> {
        self.record.borrow()
    }

    /// Takes a newer entry of the same start.
    pub(super) fn update(&self, record: EndpointRecord) {
        *self.record.borrow_mut() = record;
    }

    /// Notes that it has left the registry. Its idle connections close.
    pub(super) fn remove(&self) {
        self.is_removed.set(true);
        self.pool.borrow_mut().clear();
    }

    /// Whether new work may go to it.
    pub fn is_open(&self) -> bool {
        !self.is_removed.get() && !self.record.borrow().is_leaving
    }

    /// Requests of this process that it has not answered to the end.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Prompt tokens that it has to read for this process's requests that have no first event yet.
    pub fn backlog_tokens(&self) -> u64 {
        self.backlog_tokens.get()
    }

    /// Milliseconds that it took lately for a thousand prompt tokens, or for a request without a prompt.
    pub fn pace_ms(&self) -> Option<f64> {
        self.pace_ms.borrow().current()
    }

    /// What it read lately for this process.
    pub fn prefixes(&self) -> &RefCell<PrefixTracker> {
        &self.prefixes
    }

    /// Its last report and when it arrived.
    pub fn load(&self) -> Option<(LoadReport, Instant)> {
        self.load.get()
    }

    /// Takes a report.
    pub fn set_load(&self, load: LoadReport, now: Instant) {
        self.load.set(Some((load, now)));
    }

    /// The outcomes of its last requests.
    pub fn health(&self) -> &RefCell<EndpointHealth> {
        &self.health
    }

    /// Its idle connections.
    pub fn pool(&self) -> &RefCell<ConnectionPool> {
        &self.pool
    }

    /// Counts a request to it until the guard is dropped. `prompt_tokens` are what it has to read first; nothing for a
    /// request without a prompt.
    pub fn track_request(self: &Rc<Self>, prompt_tokens: Option<u64>, now: Instant) -> InFlightGuard {
        InFlightGuard::new(Rc::clone(self), prompt_tokens, now)
    }
}
