//! Admits requests to endpoints: a fair queue for each model and service, and the slots of the endpoints.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::{Rc, Weak},
    time::Instant,
};

use bramleywind_routing::{
    EndpointState, EndpointTable, EndpointTableDump, FairQueue, LoadReport, PolicyKind,
    QueuedRequest, RetryAfterDelay, RouteRequest, SelectedPolicy,
};
use bramleywind_types::{EndpointId, ModelId, Refusal, RefusalCode, RepeatAdvice, WorkspaceId};
use futures_channel::oneshot;

use crate::{EndpointHealth, RouteTable, RouteTarget};

/// Minimum retry delay sent to callers of a full queue, in milliseconds: about half the time of a short
/// answer.
const MIN_RETRY_DELAY_MS: u64 = 500;

/// Fraction of a request's remaining queue time that its expected wait may use. One half, because the
/// estimate is rough and a caller gains more from an immediate refusal than from one after a long wait.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// A request for an endpoint slot.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The workspace that sent the request. The queue is fair between workspaces.
    pub workspace: WorkspaceId,
    /// The model or service to call.
    pub target: RouteTarget,
    /// The properties of the request that the placement policy uses.
    pub route: RouteRequest,
    /// The number of tokens that the request reserves, which is its cost in the fair queue.
    pub cost: u64,
    /// Endpoints that must not get the request.
    pub excluded: BTreeSet<EndpointId>,
    /// The time at which the request leaves the queue at the latest.
    pub deadline: Instant,
}

#[derive(Debug)]
struct WaitingRequest {
    request: AdmissionRequest,
    sender: oneshot::Sender<Result<EndpointSlot, Refusal>>,
}

/// The admission queues and the endpoint table of a router.
#[derive(Debug)]
pub struct Admission {
    this: Weak<Self>,
    inner: RefCell<AdmissionState>,
}

#[derive(Debug)]
struct AdmissionState {
    table: EndpointTable<SelectedPolicy>,
    health: EndpointHealth,
    routes: Option<Rc<RouteTable>>,
    queues: BTreeMap<RouteTarget, FairQueue<WaitingRequest>>,
    delay: RetryAfterDelay,
    queue_limit: usize,
}

/// A request's slot at an endpoint. Dropping it frees the slot and dispatches the next queued request.
#[derive(Debug)]
pub struct EndpointSlot {
    /// The endpoint that the slot belongs to.
    pub endpoint: EndpointId,
    target: RouteTarget,
    admission: Weak<Admission>,
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        if let Some(admission) = self.admission.upgrade() {
            admission.inner.borrow_mut().table.finish(&self.endpoint);
            admission.dispatch_queue(&self.target);
        }
    }
}

impl Admission {
    /// Creates an admission without endpoints. Each queue holds up to `queue_limit` requests.
    pub fn new(policy: PolicyKind, seed: u64, queue_limit: usize) -> Rc<Self> {
        let state = AdmissionState {
            table: EndpointTable::new(SelectedPolicy::new(policy, seed)),
            health: EndpointHealth::default(),
            routes: None,
            queues: BTreeMap::new(),
            delay: RetryAfterDelay::new(seed),
            queue_limit,
        };
        Rc::new_cyclic(|this| Self { this: this.clone(), inner: RefCell::new(state) })
    }

    /// Replaces the endpoints by those of a configuration.
    pub fn set_routes(&self, routes: Rc<RouteTable>) {
        let mut state = self.inner.borrow_mut();
        for endpoint in routes.endpoints.values() {
            state.table.upsert(endpoint.id.clone(), endpoint.slots);
        }
        state.table.retain(|id| routes.endpoints.contains_key(id));
        state.routes = Some(routes);
        drop(state);
        self.dispatch_all();
    }

    /// Updates the health of the endpoints, then dispatches the queues.
    pub fn update_health(&self, change: impl FnOnce(&mut EndpointHealth)) {
        change(&mut self.inner.borrow_mut().health);
        self.dispatch_all();
    }

    /// Returns true if the endpoint is leaving and gets no new requests.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        let state = self.inner.borrow();
        let config = state.routes.as_ref().and_then(|routes| routes.endpoints.get(endpoint));
        config.is_some_and(|config| {
            state.health.is_leaving(endpoint, &config.instance, Instant::now())
        })
    }

    /// Returns true if the endpoint is neither down nor leaving.
    pub fn is_available(&self, endpoint: &EndpointId) -> bool {
        let is_down = self.inner.borrow().health.is_down(endpoint, Instant::now());
        !is_down && !self.is_leaving(endpoint)
    }

    /// Returns true if the endpoint reports its loaded models and `model` is not among them.
    pub fn lacks_model(&self, endpoint: &EndpointId, model: &ModelId) -> bool {
        self.inner.borrow().health.lacks_model(endpoint, model)
    }

    /// Sets the number of routers that share the endpoints, including this one.
    pub fn set_router_count(&self, routers: u32) {
        self.inner.borrow_mut().table.set_router_count(routers);
        self.dispatch_all();
    }

    /// Records a load report of an endpoint.
    pub fn record_report(&self, endpoint: &EndpointId, report: LoadReport) {
        self.inner.borrow_mut().table.record_report(endpoint, report);
        self.dispatch_all();
    }

    /// Records the time to the first token of a request, in milliseconds.
    pub fn record_first_token(
        &self,
        endpoint: &EndpointId,
        request: &RouteRequest,
        elapsed_ms: f64,
    ) {
        self.inner.borrow_mut().table.record_first_token(endpoint, request, elapsed_ms);
    }

    /// Records the number of tokens of a complete answer and the time that it took, in milliseconds.
    pub fn record_answer(&self, endpoint: &EndpointId, tokens: u32, elapsed_ms: f64) {
        self.inner.borrow_mut().table.record_answer(endpoint, tokens, elapsed_ms);
    }

    /// Returns the endpoint table for a state dump.
    pub fn dump(&self) -> EndpointTableDump {
        self.inner.borrow().table.dump()
    }

    /// Returns the number of queued requests, over all queues.
    pub fn waiting(&self) -> usize {
        self.inner.borrow().queues.values().map(FairQueue::len).sum()
    }

    /// Queues a request for an endpoint slot. The receiver yields the slot or a later refusal. A request
    /// whose receiver was dropped is removed from the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no endpoint can take the request, its expected wait is too long or the queue is
    /// full.
    pub fn request(
        &self,
        request: AdmissionRequest,
    ) -> Result<oneshot::Receiver<Result<EndpointSlot, Refusal>>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let target = request.target.clone();
        let mut state = self.inner.borrow_mut();
        if !state.has_candidate(&request) {
            drop(state);
            return Err(self.no_endpoint_refusal());
        }
        if let Some(wait_ms) = state.excessive_wait_ms(&request) {
            drop(state);
            return Err(self.overload_refusal_after(wait_ms));
        }
        let queued = QueuedRequest {
            workspace: request.workspace.clone(),
            cost: request.cost,
            deadline: request.deadline,
            payload: WaitingRequest { request, sender },
        };
        let limit = state.queue_limit;
        let queue = state.queues.entry(target.clone()).or_insert_with(|| FairQueue::new(limit));
        let pushed = queue.push(queued);
        drop(state);
        match pushed {
            Ok(displaced) => {
                if let Some(displaced) = displaced {
                    // Sending fails if the caller is gone already.
                    drop(displaced.payload.sender.send(Err(self.overload_refusal())));
                }
                self.dispatch_queue(&target);
                Ok(receiver)
            }
            Err(_) => Err(self.overload_refusal()),
        }
    }

    fn no_endpoint_refusal(&self) -> Refusal {
        let delay_ms = self.inner.borrow_mut().delay.jittered_ms(MIN_RETRY_DELAY_MS);
        let message = "no available endpoint can take the request";
        Refusal::not_run(RefusalCode::NoEndpoint, message, RepeatAdvice::AfterDelay)
            .after_ms(delay_ms)
    }

    /// Returns the refusal for a request that finds all endpoints busy and no room in the queue.
    pub fn overload_refusal(&self) -> Refusal {
        self.overload_refusal_after(MIN_RETRY_DELAY_MS)
    }

    fn overload_refusal_after(&self, expected_ms: u64) -> Refusal {
        let expected_ms = expected_ms.max(MIN_RETRY_DELAY_MS);
        let delay_ms = self.inner.borrow_mut().delay.jittered_ms(expected_ms);
        let message = "all endpoints are busy and the queue is full";
        Refusal::not_run(RefusalCode::Overloaded, message, RepeatAdvice::AfterDelay)
            .after_ms(delay_ms)
    }

    fn dispatch_all(&self) {
        let targets: Vec<_> = self.inner.borrow().queues.keys().cloned().collect();
        for target in targets {
            self.dispatch_queue(&target);
        }
    }

    /// Assigns the free slots of a target to its queued requests.
    fn dispatch_queue(&self, target: &RouteTarget) {
        loop {
            let DispatchResult { cancelled, unservable, started } =
                self.inner.borrow_mut().dequeue_next(target);
            // Senders are used and dropped outside the borrow, because both wake their tasks.
            drop(cancelled);
            for queued in unservable {
                drop(queued.payload.sender.send(Err(self.no_endpoint_refusal())));
            }
            let Some((waiting, endpoint)) = started else { return };
            let slot =
                EndpointSlot { endpoint, target: target.clone(), admission: self.this.clone() };
            // If the receiver is gone, the slot is dropped here and so passes to the next request.
            drop(waiting.sender.send(Ok(slot)));
        }
    }
}

/// The requests that one dispatch step takes from a queue.
#[derive(Debug, Default)]
struct DispatchResult {
    /// Requests whose callers are gone.
    cancelled: Vec<QueuedRequest<WaitingRequest>>,
    /// Requests that no endpoint can take any more.
    unservable: Vec<QueuedRequest<WaitingRequest>>,
    /// The request to send next, with its endpoint.
    started: Option<(WaitingRequest, EndpointId)>,
}

impl AdmissionState {
    fn dequeue_next(&mut self, target: &RouteTarget) -> DispatchResult {
        let mut next = DispatchResult::default();
        let Some(mut queue) = self.queues.remove(target) else { return next };
        next.cancelled = queue.take_if(|queued| queued.payload.sender.is_canceled());
        next.unservable = queue.take_if(|queued| !self.has_candidate(&queued.payload.request));
        // Popping a request uses up its workspace's turn, so requests are popped only while a slot is free.
        let mut passed_over = Vec::new();
        while self.has_free_slot(target)
            && next.started.is_none()
            && let Some(queued) = queue.pop()
        {
            match self.begin(&queued.payload.request) {
                Some(endpoint) => next.started = Some((queued.payload, endpoint)),
                // A request that excludes the free endpoints must not block the requests behind it.
                None => passed_over.push(queued),
            }
        }
        for queued in passed_over {
            // The push cannot fail: the request was popped from this queue above.
            drop(queue.push(queued));
        }
        if !queue.is_empty() {
            self.queues.insert(target.clone(), queue);
        }
        next
    }

    fn has_free_slot(&self, target: &RouteTarget) -> bool {
        let now = Instant::now();
        let Some(routes) = &self.routes else { return false };
        routes.endpoints.values().any(|config| {
            routes.serves(&config.id, target)
                && has_loaded(&self.health, &config.id, target)
                && self.table.state(&config.id).is_some_and(EndpointState::has_free_slot)
                && !self.health.is_leaving(&config.id, &config.instance, now)
                && !self.health.is_avoided(&config.id, now)
                && !self.health.is_down(&config.id, now)
        })
    }

    fn begin(&mut self, request: &AdmissionRequest) -> Option<EndpointId> {
        let now = Instant::now();
        let (routes, health) = (self.routes.clone()?, &self.health);
        self.table.begin(&request.route, |state| {
            state.has_free_slot()
                && is_candidate(&routes, health, request, &state.id, now)
                && !health.is_avoided(&state.id, now)
        })
    }

    /// Returns the expected wait of a new request, in milliseconds, if it is too long for the request's
    /// deadline.
    ///
    /// A request that was attempted before is never turned away here, because its caller may have received
    /// part of the answer.
    fn excessive_wait_ms(&self, request: &AdmissionRequest) -> Option<u64> {
        let queue = self.queues.get(&request.target)?;
        if queue.is_empty() || !request.excluded.is_empty() {
            return None;
        }
        let now = Instant::now();
        let routes = self.routes.as_ref()?;
        let rate = self.table.finish_rate(|state| routes.serves(&state.id, &request.target))?;
        let wait_ms = (queue.requests_ahead_of(&request.workspace) + 1) as f64 / rate;
        let left_ms = request.deadline.saturating_duration_since(now).as_secs_f64() * 1_000.0;
        (wait_ms > left_ms * MAX_WAIT_FRACTION).then_some(wait_ms as u64)
    }

    fn has_candidate(&self, request: &AdmissionRequest) -> bool {
        let now = Instant::now();
        let Some(routes) = &self.routes else { return false };
        routes.endpoints.keys().any(|id| is_candidate(routes, &self.health, request, id, now))
    }
}

fn is_candidate(
    routes: &RouteTable,
    health: &EndpointHealth,
    request: &AdmissionRequest,
    endpoint: &EndpointId,
    now: Instant,
) -> bool {
    let Some(config) = routes.endpoints.get(endpoint) else { return false };
    routes.serves(endpoint, &request.target)
        && has_loaded(health, endpoint, &request.target)
        && !request.excluded.contains(endpoint)
        && !health.is_leaving(endpoint, &config.instance, now)
        && !health.is_down(endpoint, now)
}

/// Returns false if the target is a model that the endpoint reports as not loaded.
fn has_loaded(health: &EndpointHealth, endpoint: &EndpointId, target: &RouteTarget) -> bool {
    match target {
        RouteTarget::Model(model) => !health.lacks_model(endpoint, model),
        RouteTarget::Service(_) => true,
    }
}
