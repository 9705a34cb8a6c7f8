//! Fake engines in memory, a fake client for them, and dispatchers with short intervals.

#![allow(dead_code, reason = "each test file uses only a part of this module")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_orders::{
    DispatchSettings, DispatchTiming, EngineClient, EngineInventory, EngineOrder, InventoryOutcome,
    LeaseChange, OrderAction, OrderDispatcher, OrderOutcome, SendWindow, WantedEngine,
    WeightStoreSettings,
};
use bramleywind_store::{Lease, MemoryStore};
use bramleywind_types::{EndpointId, FencingToken};

/// The maximum time that a test waits for a condition.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub const TIMING: DispatchTiming = DispatchTiming {
    lease_time: Duration::from_millis(300),
    renewal_interval: Duration::from_millis(50),
    order_timeout: Duration::from_millis(100),
    margin: Duration::from_millis(20),
    read_timeout: Duration::from_millis(100),
    repeat_interval: Duration::from_millis(200),
    min_reconcile_interval: Duration::from_millis(10),
    reconcile_interval_per_engine: Duration::ZERO,
    contention_time: Duration::from_millis(10),
};

/// The state of the fake engines, shared by all clients.
#[derive(Default)]
pub struct FakeEngines {
    pub inventories: RefCell<BTreeMap<EndpointId, EngineInventory>>,
    /// Every order that arrived, and whether it was accepted.
    pub arrived: RefCell<Vec<(EngineOrder, bool)>>,
    /// If set, accepted orders do not change the inventory, as while an engine loads.
    pub is_loading: Cell<bool>,
}

impl FakeEngines {
    pub fn role(&self, engine: &WantedEngine) -> Option<Box<str>> {
        self.inventories.borrow().get(&engine.endpoint)?.role.clone()
    }

    fn apply(&self, engine: &WantedEngine, order: &EngineOrder) -> OrderOutcome {
        let mut inventories = self.inventories.borrow_mut();
        let inventory = inventories.entry(engine.endpoint.clone()).or_default();
        let is_accepted = !engine.checks_fencing || order.fencing >= inventory.fencing;
        self.arrived.borrow_mut().push((order.clone(), is_accepted));
        if !is_accepted {
            return OrderOutcome::Fenced;
        }
        inventory.fencing = inventory.fencing.max(order.fencing);
        if self.is_loading.get() {
            return OrderOutcome::Accepted;
        }
        if let Some(role) = &order.role {
            inventory.role = Some(role.as_str().into());
        } else if let Some(model) = &order.model {
            inventory.models.insert(model.as_str().into());
        }
        OrderOutcome::Accepted
    }
}

/// The engine client of one process.
#[derive(Clone, Default)]
pub struct FakeClient {
    pub engines: Rc<FakeEngines>,
    /// While set, orders are held back after the check of the send window, as in a paused process. They arrive
    /// when it is reset.
    pub is_paused: Rc<Cell<bool>>,
}

impl EngineClient for FakeClient {
    async fn read_inventory(&self, engine: &WantedEngine, _deadline: Instant) -> InventoryOutcome {
        let inventories = self.engines.inventories.borrow();
        InventoryOutcome::Found(inventories.get(&engine.endpoint).cloned().unwrap_or_default())
    }

    async fn send_order(
        &self,
        engine: &WantedEngine,
        order: &EngineOrder,
        window: SendWindow,
    ) -> OrderOutcome {
        if Instant::now() > window.latest_write {
            return OrderOutcome::NotSent;
        }
        if !self.is_paused.get() {
            return self.engines.apply(engine, order);
        }
        let (client, engine, order) = (self.clone(), engine.clone(), order.clone());
        compio::runtime::spawn(async move {
            while client.is_paused.get() {
                compio::time::sleep(Duration::from_millis(1)).await;
            }
            client.engines.apply(&engine, &order);
        })
        .detach();
        std::future::pending().await
    }
}

pub type TestDispatcher = OrderDispatcher<MemoryStore, FakeClient>;

pub fn dispatcher(name: &str, store: &MemoryStore, client: &FakeClient) -> TestDispatcher {
    dispatcher_with(name, store, client, None)
}

pub fn dispatcher_with(
    name: &str,
    store: &MemoryStore,
    client: &FakeClient,
    weight_store: Option<WeightStoreSettings>,
) -> TestDispatcher {
    let settings = DispatchSettings { holder: name.into(), weight_store, timing: TIMING };
    OrderDispatcher::new(settings, store.clone(), client.clone())
}

/// Returns an engine whose desired state is a role.
pub fn engine(role: &str, checks_fencing: bool) -> WantedEngine {
    WantedEngine {
        endpoint: "engine-1".parse().unwrap(),
        address: "192.0.2.11:8080".parse().unwrap(),
        checks_fencing,
        actions: vec![OrderAction::ChangeRole { role: role.parse().unwrap() }],
    }
}

/// Returns an engine whose desired state is a loaded model.
pub fn loading_engine(name: &str, model: &str) -> WantedEngine {
    let actions = vec![OrderAction::LoadModel { model: model.parse().unwrap() }];
    WantedEngine { endpoint: name.parse().unwrap(), actions, ..engine("any", true) }
}

pub fn lease(fencing: u64, deadline: Instant) -> Lease {
    Lease { id: "lease-1".into(), fencing: FencingToken(fencing), deadline }
}

/// Tries to acquire the lease until this succeeds.
pub async fn acquire(dispatcher: &mut TestDispatcher) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while dispatcher.try_acquire_lease().await != LeaseChange::Acquired {
        assert!(Instant::now() < deadline, "the lease was not acquired in time");
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Runs reconciliation rounds until a condition holds.
pub async fn reconcile_until(
    dispatcher: &mut TestDispatcher,
    engines: &[WantedEngine],
    done: impl Fn() -> bool,
) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "the engines did not reach the expected state in time");
        dispatcher.reconcile_engines(engines, || false).await;
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Runs a test on its own runtime.
pub fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}
