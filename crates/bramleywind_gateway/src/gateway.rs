use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Instant,
};

use bramleywind_routing::RetryBudget;
use bramleywind_types::{EndpointId, IncarnationId, ServiceId};
use slog::Logger;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    config::{FleetConfig, RouteTable},
    endpoints::{Endpoint, EndpointSet},
    forward::{RequestContext, RequestTrace},
    funds::FundsManager,
    members::{FleetClock, MemberRecord, MemberRegistry},
    metrics::GatewayMetrics,
    placement::{Candidate, LatencyPlacement, PlacementPolicy, PlacementRequest},
    platform_api::Platform,
    settings::GatewaySettings,
};

/// Connections to an endpoint that are left for gateways that join, as a number of gateways.
const SPARE_MEMBERS: u32 = 2;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop.
    Running,
    /// Callers are told to go elsewhere; requests that still come are served.
    Leaving,
    /// New requests are refused; those that run are finished.
    Refusing,
}

/// The state of the process. Borrowed only between awaits.
pub struct Gateway<P: Platform> {
    settings: GatewaySettings,
    log: Logger,
    store: P::Store,
    table: RefCell<Option<Rc<RouteTable>>>,
    endpoints: RefCell<EndpointSet>,
    funds: FundsManager,
    members: RefCell<MemberRegistry>,
    retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    metrics: Rc<GatewayMetrics>,
    open_requests: Rc<Cell<usize>>,
    stop_phase: Cell<StopPhase>,
    fleet_clock: FleetClock,
    placement: LatencyPlacement,
}

impl<P: Platform> Gateway<P> {
    /// A gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, store: P::Store, log: Logger) -> Self {
        let incarnation = IncarnationId::random();
        let own = MemberRecord {
            instance: settings.instance.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            caller_address: settings.listen.callers,
            peer_address: settings.listen.peers,
        };
        Self {
            settings,
            log,
            store,
            table: RefCell::default(),
            endpoints: RefCell::default(),
            funds: FundsManager::new(incarnation),
            members: RefCell::new(MemberRegistry::new(own)),
            retry_budgets: RefCell::default(),
            metrics: Rc::default(),
            open_requests: Rc::default(),
            stop_phase: Cell::new(StopPhase::Running),
            fleet_clock: FleetClock::default(),
            placement: LatencyPlacement,
        }
    }

    /// The settings.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// The log.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The platform's store.
    pub fn store(&self) -> &P::Store {
        &self.store
    }

    /// The counters.
    pub fn metrics(&self) -> &Rc<GatewayMetrics> {
        &self.metrics
    }

    /// The configuration in force.
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force, if it is newer than the one in force.
    pub fn accept_config(&self, config: FleetConfig) -> bool {
        let known = self.table.borrow().as_ref().map(|table| table.revision());
        if known.is_some_and(|known| known >= config.revision) {
            return false;
        }
        let table = RouteTable::new(config);
        self.metrics.config_revision.set(i64::try_from(table.revision().0).unwrap_or(i64::MAX));
        let now = Instant::now();
        let mut ledger = self.funds.ledger().borrow_mut();
        for workspace in table.workspaces() {
            if let Some(prepaid) = workspace.prepaid {
                ledger.set_prepaid(&workspace.id, prepaid, now);
            }
        }
        drop(ledger);
        *self.table.borrow_mut() = Some(Rc::new(table));
        true
    }

    /// The endpoints.
    pub fn endpoints(&self) -> &RefCell<EndpointSet> {
        &self.endpoints
    }

    /// The budgets.
    pub fn funds(&self) -> &FundsManager {
        &self.funds
    }

    /// The gateways.
    pub fn members(&self) -> &RefCell<MemberRegistry> {
        &self.members
    }

    /// The time on which most instances agree.
    pub fn fleet_clock(&self) -> &FleetClock {
        &self.fleet_clock
    }

    /// Requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// How far a planned stop has come.
    pub fn stop_phase(&self) -> StopPhase {
        self.stop_phase.get()
    }

    /// Goes on with a planned stop.
    pub fn set_stop_phase(&self, phase: StopPhase) {
        self.stop_phase.set(phase);
        if phase != StopPhase::Running {
            self.members.borrow_mut().leave();
        }
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.stop_phase.get() == StopPhase::Running && self.table.borrow().is_some()
    }

    /// A trace of a request that has just arrived.
    pub fn start_trace(&self, arrival: Instant) -> RequestTrace {
        RequestTrace::new(&self.log, &self.metrics, &self.open_requests, arrival)
    }

    /// Counts a request towards its service's retry budget.
    pub fn count_request(&self, service: &ServiceId, now: Instant) {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().record_request(now);
    }

    /// Whether the service's retry budget allows one more call; it is counted.
    pub fn try_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let limits = self.settings.retries;
        let extra = limits.extra_per_gateway(self.members.borrow().count());
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_retry_within(limits.per_request(), extra, now)
    }

    /// The most requests that this process may have at one endpoint: its part of the connections that the endpoint
    /// accepts from all gateways.
    pub fn endpoint_limit(&self, table: &RouteTable, service: &ServiceId) -> u32 {
        let Some(service) = table.service(service) else { return u32::MAX };
        let members = u32::try_from(self.members.borrow().count()).unwrap_or(u32::MAX);
        (service.connection_limit / members.saturating_add(SPARE_MEMBERS)).max(1)
    }

    /// The endpoint that gets the next call of a request; nothing if there is none left.
    pub fn choose_endpoint(
        &self,
        context: &RequestContext,
        tried: &[EndpointId],
    ) -> Option<Rc<Endpoint>> {
        let now = Instant::now();
        let book = self.endpoints.borrow();
        let prompt = context.prompt.as_ref();
        let prefixes = &context.prefixes;
        // All parts but the last are shared between requests.
        let shared = prefixes.split_last().and_then(|(_, shared)| shared.last());
        let prefix = shared.map_or(0, |shared| shared.hash);
        let usable = |endpoint: &&Rc<Endpoint>| {
            !tried.contains(&endpoint.record().id) && endpoint.in_flight() < context.endpoint_limit
        };
        let endpoints: Vec<_> = book.open_endpoints(&context.service).filter(usable).collect();
        let candidates: Vec<_> = endpoints
            .iter()
            .map(|endpoint| {
                let record = endpoint.record();
                Candidate {
                    affinity: xxh3_64_with_seed(record.id.as_str().as_bytes(), prefix),
                    in_flight: endpoint.in_flight(),
                    backlog_tokens: endpoint.backlog_tokens(),
                    cached_tokens: endpoint.prefixes().borrow().cached_tokens(prefixes, now),
                    reported_requests: endpoint.load().map(|(load, _)| load.accepted()),
                    slots: record.slots,
                    pace_ms: endpoint.pace_ms(),
                    is_avoided: endpoint.health().borrow().is_avoided(now),
                    is_local: record.data_centre == self.settings.data_centre,
                }
            })
            .collect();
        let request = PlacementRequest {
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens.0),
            shared_tokens: shared.map_or(0, |shared| shared.tokens),
            tie_break: rand::random(),
        };
        let chosen = self.placement.choose(&request, &candidates)?;
        endpoints.get(chosen).map(|endpoint| Rc::clone(endpoint))
    }
}
