use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use bramleywind_routing::LoadReport;

use super::{ConnectionPool, EndpointHealth, EndpointRecord, WorkGuard};

/// One endpoint of the registry, and what this process has seen of it.
#[derive(Debug)]
pub struct Endpoint {
    record: RefCell<EndpointRecord>,
    pub(super) in_flight: Cell<u32>,
    pub(super) prefill_tokens: Cell<u64>,
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
            prefill_tokens: Cell::new(0),
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

    /// Prompt tokens of this process's requests that have no first event yet.
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens.get()
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

    /// Counts a request to it until the guard is dropped. `prefill_tokens` are what it has to read first.
    pub fn begin_work(self: &Rc<Self>, prefill_tokens: u64) -> WorkGuard {
        WorkGuard::new(Rc::clone(self), prefill_tokens)
    }
}
