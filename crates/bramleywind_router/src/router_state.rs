use std::{
    cell::{Cell, RefCell},
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use bramleywind_claims::{
    CrashReport, CrashTracker, HomeCandidate, IdempotencyCache, KeyClaimOutcome, KeyClaimRequest,
    KeyFinishOutcome, KeyFinishRequest, choose_homes,
};
use bramleywind_config::SignedConfig;
use bramleywind_ledger::TokenLedger;
use bramleywind_peer::{PeerClient, PeerRecord, PeerState};
use bramleywind_routing::RetryBudget;
use bramleywind_types::{DataCentreId, InstanceId, Refusal, RefusalCode, RepeatAdvice, RequestKey};
use slog::{Logger, info};

use crate::{
    Admission, DrainPhase, DrainState, KeyRegistry, OrderState, RepeatTracker, RequestLimits,
    RouteTable, RouterLink, RouterMetrics, RouterStore,
};

/// The identity of a router.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The address that callers are told to connect to.
    pub caller_address: SocketAddr,
    /// The capacity of the router, which sets its share of the traffic relative to other entries.
    pub capacity: u32,
}

/// The state of a router, shared by its tasks on one thread. No part of it is borrowed across an await.
pub struct RouterState {
    /// The identity of this router.
    pub identity: RouterIdentity,
    /// The limits on requests and on the drain.
    pub limits: RequestLimits,
    /// The routes of the configuration in force.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// The signed document of the configuration in force, which is sent to peers on request.
    pub signed_config: RefCell<Option<SignedConfig>>,
    /// The request queues and the state of endpoints.
    pub admission: Rc<Admission>,
    /// The budget that limits retries.
    pub retry_budget: RefCell<RetryBudget>,
    /// The state of the drain.
    pub drain: RefCell<DrainState>,
    /// The token ledger, which holds the funds of budgets.
    pub ledger: TokenLedger<RouterStore, RouterLink>,
    /// The link to the other routers.
    pub link: RouterLink,
    /// The idempotency keys of requests.
    pub key_registry: KeyRegistry,
    /// The keys and outcomes that this router remembers as a home.
    pub idempotency_cache: RefCell<IdempotencyCache>,
    /// The billed requests that may replace what was counted for dead routers.
    pub repeat_tracker: RefCell<RepeatTracker>,
    /// The requests that are suspected of crashing endpoints.
    pub crash_tracker: RefCell<CrashTracker>,
    /// The state of the task that sends orders to engines.
    pub orders: OrderState,
    /// The metrics.
    pub metrics: RouterMetrics,
    /// The logger.
    pub log: Logger,
    running: Cell<usize>,
}

/// The components from which [`RouterState::new`] builds the state of a router.
pub struct RouterParts {
    /// The identity of the router.
    pub identity: RouterIdentity,
    /// The limits on requests and on the drain.
    pub limits: RequestLimits,
    /// The request queues and the state of endpoints.
    pub admission: Rc<Admission>,
    /// The token ledger, which holds the funds of budgets.
    pub ledger: TokenLedger<RouterStore, RouterLink>,
    /// The link to the other routers.
    pub link: RouterLink,
    /// The idempotency keys of requests.
    pub key_registry: KeyRegistry,
    /// The metrics.
    pub metrics: RouterMetrics,
    /// The logger.
    pub log: Logger,
}

impl fmt::Debug for RouterState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouterState").field("identity", &self.identity).finish_non_exhaustive()
    }
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub struct RunningGuard(Rc<RouterState>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.metrics.running.dec();
    }
}

impl RouterState {
    /// Creates the state of a router that has no configuration yet.
    pub fn new(parts: RouterParts) -> Rc<Self> {
        let RouterParts { identity, limits, admission, ledger, link, key_registry, metrics, log } =
            parts;
        Rc::new(Self {
            identity,
            limits,
            routes: RefCell::default(),
            signed_config: RefCell::default(),
            admission,
            retry_budget: RefCell::default(),
            drain: RefCell::default(),
            ledger,
            link,
            key_registry,
            idempotency_cache: RefCell::default(),
            repeat_tracker: RefCell::default(),
            crash_tracker: RefCell::default(),
            orders: OrderState::default(),
            metrics,
            log,
            running: Cell::new(0),
        })
    }

    /// Returns the routes of the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns a [`RefusalCode::NotReady`] refusal until the first configuration arrives.
    pub fn current_routes(&self) -> Result<Rc<RouteTable>, Refusal> {
        self.routes.borrow().clone().ok_or_else(|| {
            let message = "no configuration is in force yet; use another entry";
            Refusal::not_run(RefusalCode::NotReady, message, RepeatAdvice::AfterDelay)
                .after_ms(NOT_READY_RETRY_AFTER_MS)
        })
    }

    /// Puts a configuration in force. Returns `false` if its revision is not newer than the current one.
    pub fn install_routes(&self, routes: RouteTable, signed: &SignedConfig) -> bool {
        let routes = Rc::new(routes);
        let mut current = self.routes.borrow_mut();
        if current.as_ref().is_some_and(|current| current.revision >= routes.revision) {
            return false;
        }
        *current = Some(routes.clone());
        drop(current);
        *self.signed_config.borrow_mut() = Some(signed.clone());
        let budgets = routes.budgets.iter().map(|(id, tokens)| (id.clone(), *tokens)).collect();
        self.ledger.configure(routes.revision, budgets);
        self.admission.set_routes(routes);
        true
    }

    /// Begins the drain unless it has already begun, and logs the reason.
    pub fn begin_drain(&self, reason: &str) {
        let (grace, bound) = (self.limits.drain_grace, self.limits.drain_bound);
        if self.drain.borrow_mut().begin(Instant::now(), grace, bound) {
            info!(self.log, "drain begun"; "reason" => reason, "running" => self.running.get());
        }
    }

    /// Returns the current phase of the drain.
    pub fn phase(&self) -> DrainPhase {
        self.drain.borrow().phase(Instant::now(), self.running.get())
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Returns the live peers, without this router.
    pub fn live_peers(&self) -> Vec<PeerRecord> {
        let Some(client) = self.link.client() else { return Vec::new() };
        client.view().live().cloned().collect()
    }

    /// Returns the homes of a key, in the order in which they are asked.
    pub fn key_homes(&self, key: &RequestKey) -> Vec<InstanceId> {
        let identity = &self.identity;
        let own = HomeCandidate {
            instance: identity.instance.clone(),
            data_centre: identity.data_centre.clone(),
        };
        let peers = self.live_peers().into_iter().map(|record| HomeCandidate {
            instance: record.heartbeat.instance,
            data_centre: record.heartbeat.data_centre,
        });
        let candidates: Vec<_> = std::iter::once(own).chain(peers).collect();
        let homes = choose_homes(key, &candidates);
        homes.first.into_iter().chain(homes.second).collect()
    }

    /// Claims the key of a request at this router, as a home of the key. Claims held by dead routers do not block
    /// the new one, because their attempts have ended.
    pub fn claim_locally(&self, request: &KeyClaimRequest) -> KeyClaimOutcome {
        let own = &self.identity.instance;
        let view = self.link.client().map(PeerClient::view);
        let is_live = |holder: &InstanceId| {
            let peer = view.as_ref().and_then(|view| view.peers.get(holder));
            holder == own || peer.is_some_and(|record| record.state != PeerState::Dead)
        };
        self.idempotency_cache.borrow_mut().claim(request, is_live, Instant::now())
    }

    /// Claims the key of a request at the given home.
    pub async fn claim_at_home(
        &self,
        home: &InstanceId,
        request: &KeyClaimRequest,
    ) -> KeyClaimOutcome {
        match self.link.client() {
            Some(client) if *home != self.identity.instance => {
                client.claim_key(home, request.clone()).await
            }
            _ => self.claim_locally(request),
        }
    }

    /// Reports to the given home that a request has ended.
    pub async fn finish_at_home(
        &self,
        home: &InstanceId,
        request: &KeyFinishRequest,
    ) -> KeyFinishOutcome {
        match self.link.client() {
            Some(client) if *home != self.identity.instance => {
                client.finish_key(home, request.clone()).await
            }
            _ => self.idempotency_cache.borrow_mut().finish(request, Instant::now()),
        }
    }

    /// Sends reports of endpoint crashes to all peers.
    pub fn share_crash_reports(&self, reports: Vec<CrashReport>) {
        if let Some(client) = self.link.client() {
            for report in reports {
                client.share_crash_report(&report);
            }
        }
    }

    /// Counts a request as running until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        self.metrics.running.inc();
        RunningGuard(self.clone())
    }
}

/// The delay after which callers may retry a router that has no configuration yet, in milliseconds. Such a router
/// asks the store and its peers about once per second.
const NOT_READY_RETRY_AFTER_MS: u64 = 1_000;
