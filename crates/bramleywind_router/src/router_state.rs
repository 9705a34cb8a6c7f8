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

/// Who this router is.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// The instance that it runs on.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The address that callers are told.
    pub caller_address: SocketAddr,
    /// The share of the traffic, relative to the other entries.
    pub capacity: u32,
}

/// All state of a router, shared by its tasks on one thread. No part is borrowed across an await.
pub struct RouterState {
    /// Who this router is.
    pub identity: RouterIdentity,
    /// What callers may do.
    pub limits: RequestLimits,
    /// The configuration in force.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// The same configuration as the operators signed it, for peers.
    pub signed_config: RefCell<Option<SignedConfig>>,
    /// Queues and endpoints.
    pub admission: Rc<Admission>,
    /// The limit on retries.
    pub retry_budget: RefCell<RetryBudget>,
    /// Whether this router is leaving.
    pub drain: RefCell<DrainState>,
    /// The budgets.
    pub funds: TokenLedger<RouterStore, RouterLink>,
    /// The link to the other routers.
    pub link: RouterLink,
    /// The keys of requests.
    pub key_registry: KeyRegistry,
    /// The outcomes that this router keeps as a home of keys.
    pub idempotency_cache: RefCell<IdempotencyCache>,
    /// The bills that may replace those of dead routers.
    pub repeat_tracker: RefCell<RepeatTracker>,
    /// The requests that crash endpoints.
    pub strikes: RefCell<CrashTracker>,
    /// The order duty.
    pub orders: OrderState,
    /// Counters.
    pub metrics: RouterMetrics,
    /// The log.
    pub log: Logger,
    running: Cell<usize>,
}

/// What a router is assembled from.
pub struct RouterParts {
    /// Who this router is.
    pub identity: RouterIdentity,
    /// What callers may do.
    pub limits: RequestLimits,
    /// Queues and endpoints.
    pub admission: Rc<Admission>,
    /// The budgets.
    pub funds: TokenLedger<RouterStore, RouterLink>,
    /// The link to the other routers.
    pub link: RouterLink,
    /// The keys of requests.
    pub key_registry: KeyRegistry,
    /// Counters.
    pub metrics: RouterMetrics,
    /// The log.
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
    /// A router without a configuration.
    pub fn new(parts: RouterParts) -> Rc<Self> {
        let RouterParts { identity, limits, admission, funds, link, key_registry, metrics, log } =
            parts;
        Rc::new(Self {
            identity,
            limits,
            routes: RefCell::default(),
            signed_config: RefCell::default(),
            admission,
            retry_budget: RefCell::default(),
            drain: RefCell::default(),
            funds,
            link,
            key_registry,
            idempotency_cache: RefCell::default(),
            repeat_tracker: RefCell::default(),
            strikes: RefCell::default(),
            orders: OrderState::default(),
            metrics,
            log,
            running: Cell::new(0),
        })
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`RefusalCode::NotReady`] before the first one arrived.
    pub fn current_routes(&self) -> Result<Rc<RouteTable>, Refusal> {
        self.routes.borrow().clone().ok_or_else(|| {
            let message = "no configuration is in force yet; use another entry";
            Refusal::not_run(RefusalCode::NotReady, message, RepeatAdvice::AfterDelay)
                .after_ms(NOT_READY_RETRY_AFTER_MS)
        })
    }

    /// Puts a configuration in force, unless it is older than the present one.
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
        self.funds.configure(routes.revision, budgets);
        self.admission.set_routes(routes);
        true
    }

    /// Begins the drain, unless it has begun.
    pub fn begin_drain(&self, reason: &str) {
        let (grace, bound) = (self.limits.drain_grace, self.limits.drain_bound);
        if self.drain.borrow_mut().begin(Instant::now(), grace, bound) {
            info!(self.log, "drain begun"; "reason" => reason, "running" => self.running.get());
        }
    }

    /// What the drain has come to.
    pub fn phase(&self) -> DrainPhase {
        self.drain.borrow().phase(Instant::now(), self.running.get())
    }

    /// How many requests are running.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// The peers that are alive, without this router.
    pub fn live_peers(&self) -> Vec<PeerRecord> {
        let Some(client) = self.link.client() else { return Vec::new() };
        client.view().live().cloned().collect()
    }

    /// The homes of a key, in the order in which they are asked.
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

    /// Notes at this router, as a home of the key, that a request begins. An attempt of a router that is
    /// dead has ended.
    pub fn claim_here(&self, request: &KeyClaimRequest) -> KeyClaimOutcome {
        let own = &self.identity.instance;
        let view = self.link.client().map(PeerClient::view);
        let is_live = |holder: &InstanceId| {
            let peer = view.as_ref().and_then(|view| view.peers.get(holder));
            holder == own || peer.is_some_and(|record| record.state != PeerState::Dead)
        };
        self.idempotency_cache.borrow_mut().claim(request, is_live, Instant::now())
    }

    /// Tells a home that a request begins.
    pub async fn claim_at_home(
        &self,
        home: &InstanceId,
        request: &KeyClaimRequest,
    ) -> KeyClaimOutcome {
        match self.link.client() {
            Some(client) if *home != self.identity.instance => {
                client.claim_key(home, request.clone()).await
            }
            _ => self.claim_here(request),
        }
    }

    /// Tells a home that a request has ended.
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

    /// Tells all peers of strikes.
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

/// When to ask a router again that has no configuration yet, in milliseconds. It asks store and peers about
/// once a second.
const NOT_READY_RETRY_AFTER_MS: u64 = 1_000;
