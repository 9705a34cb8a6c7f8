use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_store::{LeaseOutcome, RenewOutcome, Store, StoreKey};
use bramleywind_types::EndpointId;
use futures_util::future::join_all;

use crate::{
    DispatchLease, DispatchSettings, DownloadLimiter, EngineClient, EngineInventory, EngineOrder,
    InventoryOutcome, OrderAction, OrderOutcome, OrderResult, OrderStep, PermitOutcome,
    ReconcileReport, SendDecision, WantedEngine, missing_orders, unexpected_models,
};

/// The number of engines that are read at a time. The lease is renewed between two batches, so it does not end
/// while a few engines that do not answer delay the others.
const READ_BATCH_SIZE: usize = 16;

/// The outcome of acquiring or renewing the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Nothing changed.
    None,
    /// This process now holds the lease.
    Acquired,
    /// This process no longer holds the lease.
    Lost,
    /// The store did not answer.
    Unavailable,
}

/// The dispatcher that sends missing orders to engines while this process holds the order lease. One process at
/// a time can hold it.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_orders::{
///     DispatchSettings, DispatchTiming, EngineClient, EngineOrder, InventoryOutcome,
///     LeaseChange, OrderDispatcher, OrderOutcome, SendWindow, WantedEngine,
/// };
/// use bramleywind_store::MemoryStore;
///
/// struct NoEngines;
///
/// impl EngineClient for NoEngines {
///     async fn read_inventory(&self, _: &WantedEngine, _: Instant) -> InventoryOutcome {
///         InventoryOutcome::Unavailable
///     }
///     async fn send_order(&self, _: &WantedEngine, _: &EngineOrder, _: SendWindow) -> OrderOutcome {
///         OrderOutcome::NotSent
///     }
/// }
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let timing = DispatchTiming::default();
///     let settings = DispatchSettings { holder: "entry-1".into(), weight_store: None, timing };
///     let mut dispatcher = OrderDispatcher::new(settings, MemoryStore::new(), NoEngines);
///     assert_eq!(dispatcher.try_acquire_lease().await, LeaseChange::Acquired);
///     assert_eq!(dispatcher.reconcile_engines(&[], || false).await.missing, 0);
///     dispatcher.release().await;
///     assert!(!dispatcher.is_holder());
/// });
/// ```
#[derive(Debug)]
pub struct OrderDispatcher<S, C> {
    settings: DispatchSettings,
    store: S,
    client: C,
    lease: DispatchLease,
    limiter: Option<DownloadLimiter<S>>,
    /// The time at which an order may be repeated, for each order that was sent and whose result the engine does
    /// not report yet.
    pending: BTreeMap<(EndpointId, OrderAction), Instant>,
}

impl<S: Store + Clone, C: EngineClient> OrderDispatcher<S, C> {
    /// Creates a dispatcher that does not hold the lease.
    pub fn new(settings: DispatchSettings, store: S, client: C) -> Self {
        let interval = settings.weight_store.map(|weight_store| weight_store.interval());
        let limiter = interval.map(|interval| DownloadLimiter::new(store.clone(), interval));
        let lease = DispatchLease::new(settings.timing);
        Self { settings, store, client, lease, limiter, pending: BTreeMap::new() }
    }

    /// Returns the store key of the lease.
    pub fn key() -> StoreKey {
        StoreKey::from_text("duties/orders")
    }

    /// Reports whether this process holds the lease, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.lease.current(Instant::now()).is_some()
    }

    /// Tries to acquire the lease. An attempt that gets no answer may still have acquired it in this process's
    /// name. The store then refuses the lease to every process, including this one, until it expires.
    pub async fn try_acquire_lease(&mut self) -> LeaseChange {
        let time = self.settings.timing.lease_time;
        match self.store.acquire_lease(&Self::key(), &self.settings.holder, time).await {
            LeaseOutcome::Acquired(lease) => {
                self.lease.set_acquired(lease, Instant::now());
                // Orders that this process sent under an earlier lease say nothing about the current state.
                self.pending.clear();
                // The interval before the first permit starts when the record is first seen.
                if let Some(limiter) = &mut self.limiter {
                    limiter.read_record().await;
                }
                if self.is_holder() { LeaseChange::Acquired } else { LeaseChange::None }
            }
            LeaseOutcome::Held => LeaseChange::None,
            LeaseOutcome::Unavailable(_) => LeaseChange::Unavailable,
        }
    }

    /// Renews the lease if it is due, and drops a lease that has ended.
    pub async fn renew(&mut self) -> LeaseChange {
        let now = Instant::now();
        let Some(lease) = self.lease.current(now).cloned() else {
            return if self.lease.take().is_some() { LeaseChange::Lost } else { LeaseChange::None };
        };
        if !self.lease.is_renewal_due(now) {
            return LeaseChange::None;
        }
        match self.store.renew_lease(&lease, self.settings.timing.lease_time).await {
            RenewOutcome::Renewed(deadline) => {
                self.lease.set_renewed(deadline);
                LeaseChange::None
            }
            RenewOutcome::Lost => {
                self.lease.take();
                LeaseChange::Lost
            }
            RenewOutcome::Unavailable(_) => {
                self.lease.set_unconfirmed();
                LeaseChange::Unavailable
            }
        }
    }

    /// Releases the lease. No order is in flight, because the same task sends the orders.
    pub async fn release(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.store.release_lease(lease).await;
        }
    }

    /// Runs one reconciliation round: reads all engines and sends their missing orders. Ends early when
    /// `is_stopping` returns true or the lease is lost.
    pub async fn reconcile_engines(
        &mut self,
        engines: &[WantedEngine],
        is_stopping: impl Fn() -> bool,
    ) -> ReconcileReport {
        let mut report = ReconcileReport::default();
        self.pending.retain(|(endpoint, action), _| {
            let mut wanted = engines.iter().filter(|engine| engine.endpoint == *endpoint);
            wanted.any(|engine| engine.actions.contains(action))
        });
        for batch in engines.chunks(READ_BATCH_SIZE) {
            self.renew().await;
            if is_stopping() || !self.is_holder() {
                return report;
            }
            let deadline = Instant::now() + self.settings.timing.read_timeout;
            let reads = batch.iter().map(|engine| self.client.read_inventory(engine, deadline));
            for (engine, outcome) in batch.iter().zip(join_all(reads).await) {
                match outcome {
                    InventoryOutcome::Unavailable => report.unreadable += 1,
                    InventoryOutcome::Found(inventory) => {
                        report.read += 1;
                        report.unexpected += unexpected_models(engine, &inventory).len();
                        self.send_missing_orders(engine, inventory, &is_stopping, &mut report)
                            .await;
                    }
                }
            }
        }
        report
    }

    /// Sends the missing orders of one engine, and reads the engine's state again after each order.
    async fn send_missing_orders(
        &mut self,
        engine: &WantedEngine,
        mut inventory: EngineInventory,
        is_stopping: &impl Fn() -> bool,
        report: &mut ReconcileReport,
    ) {
        let is_satisfied = |action: &OrderAction| inventory.satisfies(action);
        self.pending
            .retain(|(endpoint, action), _| *endpoint != engine.endpoint || !is_satisfied(action));
        let missing: Vec<OrderAction> =
            missing_orders(engine, &inventory).into_iter().cloned().collect();
        for action in missing {
            if is_stopping() {
                break;
            }
            // An earlier order of this round may have produced the result of this one, too.
            if inventory.satisfies(&action) || self.is_pending(engine, &action) {
                continue;
            }
            self.renew().await;
            let result = self.dispatch_order(engine, &action).await;
            let mut record = |result| {
                let step =
                    OrderStep { endpoint: engine.endpoint.clone(), action: action.clone(), result };
                report.steps.push(step);
            };
            record(result);
            if result == OrderResult::WaitsForPermit {
                report.waiting.insert(engine.endpoint.clone());
            }
            if !matches!(result, OrderResult::Sent(outcome) if outcome != OrderOutcome::NotSent) {
                continue;
            }
            let repeat_at = Instant::now() + self.settings.timing.repeat_interval;
            self.pending.insert((engine.endpoint.clone(), action.clone()), repeat_at);
            let deadline = Instant::now() + self.settings.timing.read_timeout;
            if let InventoryOutcome::Found(found) =
                self.client.read_inventory(engine, deadline).await
            {
                inventory = found;
            }
            if inventory.satisfies(&action) {
                self.pending.remove(&(engine.endpoint.clone(), action.clone()));
                record(OrderResult::Confirmed);
            }
        }
        report.missing += missing_orders(engine, &inventory).len();
    }

    /// Sends one order if the lease and, for an order that needs weights, the download rate permit it.
    async fn dispatch_order(&mut self, engine: &WantedEngine, action: &OrderAction) -> OrderResult {
        let checks_fencing = engine.checks_fencing;
        let (fencing, _) = match self.check_lease(checks_fencing) {
            Ok(allowed) => allowed,
            Err(result) => return result,
        };
        let mut permit_deadline = None;
        if action.weights().is_some() {
            let Some(limiter) = &mut self.limiter else { return OrderResult::NoWeightStore };
            match limiter.take_permit(&self.settings.holder, fencing).await {
                PermitOutcome::Taken(permit) => permit_deadline = Some(permit.valid_until),
                PermitOutcome::Wait => return OrderResult::WaitsForPermit,
                PermitOutcome::Unavailable => return OrderResult::StoreUnavailable,
            }
        }
        // Taking the permit took time, so the lease is checked again.
        let (fencing, mut window) = match self.check_lease(checks_fencing) {
            Ok(allowed) => allowed,
            Err(result) => return result,
        };
        if let Some(latest) = permit_deadline {
            window.latest_write = window.latest_write.min(latest);
        }
        let address = self.settings.weight_store.map(|weight_store| weight_store.address);
        let order = EngineOrder::new(action, fencing, address);
        let sending = self.client.send_order(engine, &order, window);
        let outcome = compio::time::timeout_at(window.deadline, sending).await;
        let outcome = outcome.unwrap_or(OrderOutcome::Unknown);
        if outcome == OrderOutcome::Fenced {
            self.lease.require_renewal(Instant::now());
        }
        OrderResult::Sent(outcome)
    }

    /// Returns the fencing token and the window for an order that is sent now, or the reason not to send it.
    fn check_lease(
        &self,
        checks_fencing: bool,
    ) -> Result<(bramleywind_types::FencingToken, crate::SendWindow), OrderResult> {
        match self.lease.send_decision(Instant::now(), checks_fencing) {
            SendDecision::Allowed(fencing, window) => Ok((fencing, window)),
            SendDecision::NoLease => Err(OrderResult::NoLease),
            SendDecision::Unconfirmed => Err(OrderResult::StoreUnavailable),
            SendDecision::Settling(_) => Err(OrderResult::Settling),
        }
    }

    /// Reports whether the order was sent too recently to be repeated.
    fn is_pending(&self, engine: &WantedEngine, action: &OrderAction) -> bool {
        let repeat_at = self.pending.get(&(engine.endpoint.clone(), action.clone()));
        repeat_at.is_some_and(|repeat_at| Instant::now() < *repeat_at)
    }

    /// Returns how long a process that does not hold the lease waits between two attempts to acquire it, in a
    /// fleet of `routers`.
    pub fn contention_interval(&self, routers: usize) -> Duration {
        self.settings.timing.contention_interval(routers)
    }

    /// Returns how long the holder waits between two reconciliation rounds over this many engines.
    pub fn reconcile_interval(&self, engines: usize) -> Duration {
        self.settings.timing.reconcile_interval(engines)
    }

    /// Returns the maximum interval between two calls of [`OrderDispatcher::renew`].
    pub fn renewal_interval(&self) -> Duration {
        self.settings.timing.renewal_interval
    }
}
