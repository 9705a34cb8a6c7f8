mod crash_handling;
mod fleet_handling;
mod list_handling;
mod part_handling;
mod rate_handling;
mod witness_handling;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use bramleywind_http::{BodyMemory, TrafficTotals};
use bramleywind_routing::RetryBudget;
use bramleywind_store::StoreVersion;
use bramleywind_types::{EndpointId, IncarnationId, ServiceId};
use futures_channel::oneshot;
use slog::{Logger, info};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::crash_handling::choose_for_suspect;
use crate::{
    admission::AdmissionControl,
    config::{FleetConfig, RouteTable},
    crashes::{CrashGuard, PartGuard, UnconfirmedCrashes},
    endpoints::{Endpoint, EndpointSet},
    forward::{RequestContext, RequestTrace},
    funds::FundsManager,
    members::{FleetClock, MemberRecord, MemberRegistry},
    metrics::GatewayMetrics,
    placement::{Candidate, LatencyPlacement, PlacementPolicy, PlacementRequest},
    platform_api::{FleetListing, Platform},
    rate_limits::{RateOutbox, ReturnSchedule},
    registry::{CopyFreshness, ListDigest},
    settings::GatewaySettings,
    witness::{HolderLink, WitnessRegistry},
};

/// Number of additional gateways for which connections to an endpoint are kept free, so that gateways can join.
const SPARE_GATEWAYS: u32 = 2;

/// The phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// The process is not stopping.
    Running,
    /// Callers are told to use other gateways; requests that still arrive are served.
    Leaving,
    /// New requests are refused; open requests are finished.
    Refusing,
}

/// Holds the state of the process. Its cells are borrowed only between awaits.
pub struct Gateway<P: Platform> {
    settings: GatewaySettings,
    log: Logger,
    store: P::Store,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// The configuration that the table was made from.
    config: RefCell<Option<Rc<FleetConfig>>>,
    config_freshness: CopyFreshness,
    config_relayed_until: Cell<Option<Instant>>,
    endpoints: RefCell<EndpointSet>,
    list_freshness: CopyFreshness,
    list_version: Cell<Option<StoreVersion>>,
    /// Whether the list may lack changes that its version covers.
    may_miss_changes: Cell<bool>,
    /// The list of gateways as the store gave it, and when the store was asked for it.
    fleet_listing: RefCell<Option<(FleetListing, Instant)>>,
    /// The digest of the list of endpoints, with the generation that it belongs to.
    list_digest: RefCell<Option<(u64, ListDigest)>>,
    /// Wakes the queries of other gateways that wait for news of the list.
    list_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    funds: FundsManager,
    members: RefCell<MemberRegistry>,
    retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    metrics: Rc<GatewayMetrics>,
    open_requests: Rc<Cell<usize>>,
    stop_phase: Cell<StopPhase>,
    /// When requests that have no answer yet get one from a stopping process.
    last_answer_at: Cell<Option<Instant>>,
    /// Closed when that time has come.
    answers_end: (Sender<Infallible>, Receiver<Infallible>),
    fleet_clock: FleetClock,
    placement: LatencyPlacement,
    admission: AdmissionControl,
    body_memory: BodyMemory,
    /// Whether new connections were accepted when this was last decided.
    took_connections: Cell<bool>,
    crash_guard: RefCell<CrashGuard>,
    /// Wakes the task that tells other gateways about crashes.
    crash_news: (Sender<()>, Receiver<()>),
    /// Lost connections whose endpoints may have ended.
    unconfirmed_crashes: RefCell<UnconfirmedCrashes>,
    part_guard: RefCell<PartGuard>,
    /// Wakes the task that judges parts of prompts.
    part_news: (Sender<()>, Receiver<()>),
    rate_outbox: RefCell<RateOutbox>,
    /// Wakes the task that tells other gateways about the rates of endpoints.
    rate_news: (Sender<()>, Receiver<()>),
    return_schedules: RefCell<HashMap<ServiceId, ReturnSchedule>>,
    /// The own presence record and the witness that it names.
    holder_link: RefCell<HolderLink>,
    /// Wakes the task that names a witness.
    presence_wake: (Sender<()>, Receiver<()>),
    /// The ceilings that this process knows as the witness of others.
    witness_registry: RefCell<WitnessRegistry>,
}

impl<P: Platform> Gateway<P> {
    /// Creates a gateway without a configuration and without endpoints.
    pub fn new(settings: GatewaySettings, store: P::Store, log: Logger) -> Self {
        let incarnation = IncarnationId::random();
        let own = MemberRecord {
            instance: settings.instance.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            caller_address: settings.listen.callers,
            peer_address: settings.listen.peers,
            capacity: settings.capacity,
        };
        let admission = AdmissionControl::new(settings.limits, Instant::now());
        let body_memory = BodyMemory::new(settings.limits.max_body_bytes());
        Self {
            settings,
            log,
            store,
            table: RefCell::default(),
            endpoints: RefCell::default(),
            list_freshness: CopyFreshness::default(),
            config: RefCell::default(),
            config_freshness: CopyFreshness::default(),
            config_relayed_until: Cell::new(None),
            list_version: Cell::new(None),
            may_miss_changes: Cell::new(false),
            fleet_listing: RefCell::default(),
            list_digest: RefCell::new(None),
            list_waiters: RefCell::default(),
            funds: FundsManager::new(incarnation),
            members: RefCell::new(MemberRegistry::new(own)),
            retry_budgets: RefCell::default(),
            metrics: Rc::default(),
            open_requests: Rc::default(),
            stop_phase: Cell::new(StopPhase::Running),
            last_answer_at: Cell::new(None),
            answers_end: async_channel::bounded(1),
            fleet_clock: FleetClock::default(),
            placement: LatencyPlacement,
            admission,
            body_memory,
            took_connections: Cell::new(true),
            crash_guard: RefCell::new(CrashGuard::new(Instant::now())),
            crash_news: async_channel::bounded(1),
            unconfirmed_crashes: RefCell::default(),
            part_guard: RefCell::new(PartGuard::new(Instant::now())),
            part_news: async_channel::bounded(1),
            rate_outbox: RefCell::default(),
            rate_news: async_channel::bounded(1),
            return_schedules: RefCell::default(),
            holder_link: RefCell::default(),
            presence_wake: async_channel::bounded(1),
            witness_registry: RefCell::default(),
        }
    }

    /// The settings of the process.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// The logger of the process.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The client of the platform's store.
    pub fn store(&self) -> &P::Store {
        &self.store
    }

    /// The metrics of the process.
    pub fn metrics(&self) -> &Rc<GatewayMetrics> {
        &self.metrics
    }

    /// The configuration in force, indexed for lookups; `None` before one is loaded.
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force if it is newer than the current one. Returns whether it was.
    pub fn accept_config(&self, config: FleetConfig) -> bool {
        let current = self.table.borrow().as_ref().map(|table| table.revision());
        if current.is_some_and(|current| current >= config.revision) {
            return false;
        }
        *self.config.borrow_mut() = Some(Rc::new(config.clone()));
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
        self.update_primaries();
        *self.table.borrow_mut() = Some(Rc::new(table));
        // Other gateways may follow the configuration through this one.
        self.announce_list();
        true
    }

    /// Determines again which budgets this process is the primary of.
    pub fn update_primaries(&self) {
        let members = self.members.borrow();
        let mut ledger = self.funds.ledger().borrow_mut();
        ledger.set_primary(|workspace| members.is_primary(workspace), Instant::now());
    }

    /// The known endpoints.
    pub fn endpoints(&self) -> &RefCell<EndpointSet> {
        &self.endpoints
    }

    /// How old the list of endpoints is.
    pub fn list_freshness(&self) -> &CopyFreshness {
        &self.list_freshness
    }

    /// How old the configuration is.
    pub fn config_freshness(&self) -> &CopyFreshness {
        &self.config_freshness
    }

    /// The configuration in force; `None` before one is loaded.
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Returns until when another gateway keeps the configuration current, if one does.
    pub fn config_relayed_until(&self) -> Option<Instant> {
        self.config_relayed_until.get()
    }

    /// Records until when another gateway keeps the configuration current; `None` if none does any longer.
    pub fn set_config_relayed_until(&self, until: Option<Instant>) {
        self.config_relayed_until.set(until);
    }

    /// The workspaces' budgets and this process's grants.
    pub fn funds(&self) -> &FundsManager {
        &self.funds
    }

    /// The gateways of the fleet.
    pub fn members(&self) -> &RefCell<MemberRegistry> {
        &self.members
    }

    /// The clock on which most instances agree.
    pub fn fleet_clock(&self) -> &FleetClock {
        &self.fleet_clock
    }

    /// The load of this instance's link and memory.
    pub fn admission(&self) -> &AdmissionControl {
        &self.admission
    }

    /// The memory for the bodies of requests and responses.
    pub fn body_memory(&self) -> &BodyMemory {
        &self.body_memory
    }

    /// The requests that crash endpoints.
    pub fn crash_guard(&self) -> &RefCell<CrashGuard> {
        &self.crash_guard
    }

    /// The parts of prompts that crash endpoints.
    pub fn part_guard(&self) -> &RefCell<PartGuard> {
        &self.part_guard
    }

    /// Returns whether new connections of callers are accepted. An overloaded instance refuses them, so that callers turn to
    /// another one.
    pub fn takes_connections(&self, now: Instant) -> bool {
        let delays = self.admission.record_traffic(TrafficTotals::current(), now);
        let takes_connections = self.admission.takes_connections(delays, now);
        if self.took_connections.replace(takes_connections) != takes_connections {
            let millis = |delay: Duration| u64::try_from(delay.as_millis()).ok();
            info!(self.log, "new connections of callers"; "accepted" => takes_connections,
                "received_delay_ms" => millis(delays.received), "sent_delay_ms" => millis(delays.sent),
                "open_requests" => self.open_requests.get());
        }
        takes_connections
    }

    /// Number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// The current phase of a planned stop.
    pub fn stop_phase(&self) -> StopPhase {
        self.stop_phase.get()
    }

    /// Sets the phase of a planned stop. The process leaves the member list in any phase but `Running`.
    pub fn set_stop_phase(&self, phase: StopPhase) {
        self.stop_phase.set(phase);
        if phase != StopPhase::Running {
            self.members.borrow_mut().leave(Instant::now());
            self.update_primaries();
        }
    }

    /// Sets when a stopping process answers the requests that have no answer yet.
    pub fn set_last_answer_time(&self, last_answer_at: Instant) {
        self.last_answer_at.set(Some(last_answer_at));
    }

    /// When a stopping process answers the requests that have no answer yet; `None` while it is not stopping.
    pub fn last_answer_at(&self) -> Option<Instant> {
        self.last_answer_at.get()
    }

    /// Ends the wait for answers of endpoints, so that callers get one before the process ends.
    pub fn end_answers(&self) {
        self.answers_end.0.close();
    }

    /// Completes when the process no longer waits for answers of endpoints.
    pub async fn wait_for_end_of_answers(&self) {
        // Nothing is ever sent: the channel is closed.
        let _ = self.answers_end.1.recv().await;
    }

    /// Returns whether callers should be sent to this process.
    pub fn is_ready(&self) -> bool {
        self.stop_phase.get() == StopPhase::Running && self.table.borrow().is_some()
    }

    /// Creates the trace of a request that has just arrived.
    pub fn start_trace(&self, arrival: Instant) -> RequestTrace {
        RequestTrace::new(&self.log, &self.metrics, &self.open_requests, arrival)
    }

    /// Counts a request toward the retry budget of its service.
    pub fn count_request(&self, service: &ServiceId, now: Instant) {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().record_request(now);
    }

    /// Takes one retry from the service's retry budget. Returns false if the budget is used up.
    pub fn try_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let limits = self.settings.retries;
        let members = self.members.borrow().share_count();
        let extra = members.map_or(0, |members| limits.extra_per_gateway(members));
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_retry_within(limits.per_request(), extra, now)
    }

    /// Returns the maximum number of requests that this process may have in flight at one endpoint: its part of the
    /// connections that the endpoint accepts from all gateways.
    pub fn endpoint_limit(&self, table: &RouteTable, service: &ServiceId) -> u32 {
        let Some(service) = table.service(service) else { return u32::MAX };
        let members = u32::try_from(self.members.borrow().count()).unwrap_or(u32::MAX);
        (service.connection_limit / members.saturating_add(SPARE_GATEWAYS)).max(1)
    }

    /// Chooses the endpoint for the next call of a request. Returns `None` if no usable endpoint is left besides those
    /// in `tried`.
    pub fn choose_endpoint(
        &self,
        context: &RequestContext,
        tried: &[EndpointId],
    ) -> Option<Rc<Endpoint>> {
        let now = Instant::now();
        let known_endpoints = self.endpoints.borrow();
        let prompt = context.prompt.as_ref();
        let prefixes = &context.prefixes;
        // All parts of a prompt but the last are shared between requests.
        let shared = prefixes.split_last().and_then(|(_, shared)| shared.last());
        let prefix = shared.map_or(0, |shared| shared.hash);
        let gate = self.list_gate(now);
        let is_usable = |endpoint: &&Rc<Endpoint>| {
            !tried.contains(&endpoint.record().id)
                && endpoint.in_flight() < context.endpoint_limit
                && endpoint.opens_at(context.rank, now).is_none()
                && gate.admits(endpoint.answered_at())
        };
        let endpoints: Vec<_> =
            known_endpoints.open_endpoints(&context.service).filter(is_usable).collect();
        if let Some(part) = self.part_guard.borrow().suspect(&context.shared_parts, now) {
            return choose_for_suspect(part.short_hash(), &endpoints, now);
        }
        if self.crash_guard.borrow().is_suspect(&context.fingerprint, now) {
            // The primary engine of a prompt's prefix has it cached.
            let seed =
                shared.map_or_else(|| context.fingerprint.short_hash(), |shared| shared.hash);
            return choose_for_suspect(seed, &endpoints, now);
        }
        let candidates: Vec<_> = endpoints
            .iter()
            .map(|endpoint| {
                let record = endpoint.record();
                Candidate {
                    affinity: xxh3_64_with_seed(record.id.as_str().as_bytes(), prefix),
                    in_flight: endpoint.in_flight(),
                    backlog_tokens: endpoint.backlog_tokens(),
                    cached_tokens: endpoint.prefix_tracker().borrow().cached_tokens(prefixes, now),
                    reported_requests: endpoint.load().map(|(load, _)| load.accepted()),
                    slots: record.slots,
                    pace_ms: endpoint.pace_ms(),
                    is_avoided: endpoint.health().borrow().is_avoided(now),
                    failure_rate: endpoint.health().borrow().failure_rate(now),
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
