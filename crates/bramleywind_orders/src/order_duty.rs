use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_store::{LeaseOutcome, RenewOutcome, Store, StoreKey};
use bramleywind_types::EndpointId;
use futures_util::future::join_all;

use crate::{
    DutyLease, DutySettings, EngineInventory, EngineLink, EngineOrder, InventoryOutcome,
    OrderAction, OrderOutcome, OrderResult, OrderStep, PermitOutcome, RoundReport, SendDecision,
    WantedEngine, WeightPermits, missing_orders, unexpected_models,
};

/// How many engines are read at once. A few that do not answer must not hold up the others until the lease
/// ends, which is renewed between two groups.
const READ_GROUP: usize = 16;

/// What looking after the lease came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Nothing changed.
    None,
    /// This process now holds the duty.
    Acquired,
    /// This process no longer holds the duty.
    Lost,
    /// The store did not answer.
    Unavailable,
}

/// The duty to send orders, which one process at a time has.
///
/// ```
/// use std::time::Instant;
/// use bramleywind_orders::{
///     DutySettings, DutyTiming, EngineLink, EngineOrder, InventoryOutcome,
///     LeaseChange, OrderDuty, OrderOutcome, SendWindow, WantedEngine,
/// };
/// use bramleywind_store::MemoryStore;
///
/// struct NoEngines;
///
/// impl EngineLink for NoEngines {
///     async fn read_inventory(&self, _: &WantedEngine, _: Instant) -> InventoryOutcome {
///         InventoryOutcome::Unavailable
///     }
///     async fn send_order(&self, _: &WantedEngine, _: &EngineOrder, _: SendWindow) -> OrderOutcome {
///         OrderOutcome::NotSent
///     }
/// }
///
/// compio::runtime::Runtime::new().unwrap().block_on(async {
///     let timing = DutyTiming::default();
///     let settings = DutySettings { holder: "entry-1".into(), weights: None, timing };
///     let mut duty = OrderDuty::new(settings, MemoryStore::new(), NoEngines);
///     assert_eq!(duty.contend().await, LeaseChange::Acquired);
///     assert_eq!(duty.round(&[], || false).await.missing, 0);
///     duty.release().await;
///     assert!(!duty.is_holder());
/// });
/// ```
#[derive(Debug)]
pub struct OrderDuty<S, L> {
    settings: DutySettings,
    store: S,
    link: L,
    lease: DutyLease,
    permits: Option<WeightPermits<S>>,
    /// Orders that were sent and have not shown, with when they may be sent again.
    pending: BTreeMap<(EndpointId, OrderAction), Instant>,
}

impl<S: Store + Clone, L: EngineLink> OrderDuty<S, L> {
    /// A process without the lease.
    pub fn new(settings: DutySettings, store: S, link: L) -> Self {
        let interval = settings.weights.map(|weights| weights.interval());
        let permits = interval.map(|interval| WeightPermits::new(store.clone(), interval));
        let lease = DutyLease::new(settings.timing);
        Self { settings, store, link, lease, permits, pending: BTreeMap::new() }
    }

    /// The key of the lease.
    pub fn key() -> StoreKey {
        StoreKey::from_text("duties/orders")
    }

    /// Whether this process holds the duty as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.lease.current(Instant::now()).is_some()
    }

    /// Tries to take the lease. An acquisition without an answer may have taken it in this process's name;
    /// the store then keeps it from everybody, this process included, until it ends by itself.
    pub async fn contend(&mut self) -> LeaseChange {
        let time = self.settings.timing.lease_time;
        match self.store.acquire_lease(&Self::key(), &self.settings.holder, time).await {
            LeaseOutcome::Acquired(lease) => {
                self.lease.set_acquired(lease, Instant::now());
                // What an earlier holder sent or this process sent earlier tells nothing of now.
                self.pending.clear();
                // The interval of the first permit counts from when the record was first seen.
                if let Some(permits) = &mut self.permits {
                    permits.read().await;
                }
                if self.is_holder() { LeaseChange::Acquired } else { LeaseChange::None }
            }
            LeaseOutcome::Held => LeaseChange::None,
            LeaseOutcome::Unavailable(_) => LeaseChange::Unavailable,
        }
    }

    /// Renews the lease if that is due.
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

    /// Gives the lease back. No order is on its way: they are sent by the same task.
    pub async fn release(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.store.release_lease(lease).await;
        }
    }

    /// Reads all engines and sends what is missing, until `is_stopping` or the lease is lost.
    pub async fn round(
        &mut self,
        engines: &[WantedEngine],
        is_stopping: impl Fn() -> bool,
    ) -> RoundReport {
        let mut report = RoundReport::default();
        self.pending.retain(|(endpoint, action), _| {
            let mut wanted = engines.iter().filter(|engine| engine.endpoint == *endpoint);
            wanted.any(|engine| engine.actions.contains(action))
        });
        for group in engines.chunks(READ_GROUP) {
            self.renew().await;
            if is_stopping() || !self.is_holder() {
                return report;
            }
            let deadline = Instant::now() + self.settings.timing.read_time;
            let reads = group.iter().map(|engine| self.link.read_inventory(engine, deadline));
            for (engine, outcome) in group.iter().zip(join_all(reads).await) {
                match outcome {
                    InventoryOutcome::Unavailable => report.unreadable += 1,
                    InventoryOutcome::Found(inventory) => {
                        report.read += 1;
                        report.unexpected += unexpected_models(engine, &inventory).len();
                        self.complete(engine, inventory, &is_stopping, &mut report).await;
                    }
                }
            }
        }
        report
    }

    /// Sends an engine what it lacks.
    async fn complete(
        &mut self,
        engine: &WantedEngine,
        mut inventory: EngineInventory,
        is_stopping: &impl Fn() -> bool,
        report: &mut RoundReport,
    ) {
        let shown = |action: &OrderAction| inventory.shows(action);
        self.pending.retain(|(endpoint, action), _| *endpoint != engine.endpoint || !shown(action));
        let missing: Vec<OrderAction> =
            missing_orders(engine, &inventory).into_iter().cloned().collect();
        for action in missing {
            if is_stopping() {
                break;
            }
            // An order that was carried out with an earlier one of this round.
            if inventory.shows(&action) || self.is_pending(engine, &action) {
                continue;
            }
            self.renew().await;
            let result = self.order(engine, &action).await;
            let mut note = |result| {
                let step =
                    OrderStep { endpoint: engine.endpoint.clone(), action: action.clone(), result };
                report.steps.push(step);
            };
            note(result);
            if result == OrderResult::WaitsForPermit {
                report.waiting.insert(engine.endpoint.clone());
            }
            if !matches!(result, OrderResult::Sent(outcome) if outcome != OrderOutcome::NotSent) {
                continue;
            }
            let again = Instant::now() + self.settings.timing.repeat_time;
            self.pending.insert((engine.endpoint.clone(), action.clone()), again);
            let deadline = Instant::now() + self.settings.timing.read_time;
            if let InventoryOutcome::Found(found) = self.link.read_inventory(engine, deadline).await
            {
                inventory = found;
            }
            if inventory.shows(&action) {
                self.pending.remove(&(engine.endpoint.clone(), action.clone()));
                note(OrderResult::Confirmed);
            }
        }
        report.missing += missing_orders(engine, &inventory).len();
    }

    async fn order(&mut self, engine: &WantedEngine, action: &OrderAction) -> OrderResult {
        let checks_fencing = engine.checks_fencing;
        let (fencing, _) = match self.decide(checks_fencing) {
            Ok(allowed) => allowed,
            Err(result) => return result,
        };
        let mut latest_permit = None;
        if action.weights().is_some() {
            let Some(permits) = &mut self.permits else { return OrderResult::NoWeightStore };
            match permits.take(&self.settings.holder, fencing).await {
                PermitOutcome::Taken(permit) => latest_permit = Some(permit.valid_until),
                PermitOutcome::Wait => return OrderResult::WaitsForPermit,
                PermitOutcome::Unavailable => return OrderResult::StoreUnavailable,
            }
        }
        // The permit took time, so the lease is looked at again.
        let (fencing, mut window) = match self.decide(checks_fencing) {
            Ok(allowed) => allowed,
            Err(result) => return result,
        };
        if let Some(latest) = latest_permit {
            window.latest_write = window.latest_write.min(latest);
        }
        let address = self.settings.weights.map(|weights| weights.address);
        let order = EngineOrder::new(action, fencing, address);
        let sending = self.link.send_order(engine, &order, window);
        let outcome = compio::time::timeout_at(window.deadline, sending).await;
        let outcome = outcome.unwrap_or(OrderOutcome::Unknown);
        if outcome == OrderOutcome::Fenced {
            self.lease.doubt(Instant::now());
        }
        OrderResult::Sent(outcome)
    }

    fn decide(
        &self,
        checks_fencing: bool,
    ) -> Result<(bramleywind_types::FencingToken, crate::SendWindow), OrderResult> {
        match self.lease.decide(Instant::now(), checks_fencing) {
            SendDecision::Allowed(fencing, window) => Ok((fencing, window)),
            SendDecision::NoLease => Err(OrderResult::NoLease),
            SendDecision::Unconfirmed => Err(OrderResult::StoreUnavailable),
            SendDecision::Settling(_) => Err(OrderResult::Settling),
        }
    }

    fn is_pending(&self, engine: &WantedEngine, action: &OrderAction) -> bool {
        let again = self.pending.get(&(engine.endpoint.clone(), action.clone()));
        again.is_some_and(|again| Instant::now() < *again)
    }

    /// How long a process that does not hold the duty waits in a fleet of `routers`.
    pub fn contention_interval(&self, routers: usize) -> Duration {
        self.settings.timing.contention_interval(routers)
    }

    /// How long the holder waits between two rounds.
    pub fn round_interval(&self, engines: usize) -> Duration {
        self.settings.timing.round_interval(engines)
    }

    /// How often the lease must be looked after at least.
    pub fn renewal_time(&self) -> Duration {
        self.settings.timing.renewal_time
    }
}
