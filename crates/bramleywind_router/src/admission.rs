//! Admission of requests to endpoints: a queue for each model and service, and the slots of the endpoints.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::{Rc, Weak},
    time::Instant,
};

use bramleywind_routing::{
    EndpointTable, EndpointTableDump, FairQueue, LoadReport, PolicyKind, QueuedRequest,
    ReturnDelay, RouteRequest, SelectedPolicy,
};
use bramleywind_types::{EndpointId, Refusal, RefusalCode, RepeatAdvice, WorkspaceId};
use futures_channel::oneshot;

use crate::{EndpointHealth, RouteTable, RouteTarget};

/// The delay that callers of a full queue are told at least, in milliseconds: about half of a short answer.
const EXPECTED_ROOM_MS: u64 = 500;

/// A request that asks for an endpoint.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The workspace, between which the queue is fair.
    pub workspace: WorkspaceId,
    /// What it is for.
    pub target: RouteTarget,
    /// What the choice of the endpoint depends on.
    pub route: RouteRequest,
    /// The tokens that it reserves.
    pub cost: u64,
    /// Endpoints that it must not be sent to.
    pub excluded: BTreeSet<EndpointId>,
    /// Until when it may wait.
    pub deadline: Instant,
}

#[derive(Debug)]
struct WaitingRequest {
    request: AdmissionRequest,
    sender: oneshot::Sender<EndpointSlot>,
}

/// The queues and the endpoint table of a router.
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
    delay: ReturnDelay,
    queue_limit: usize,
}

/// One request's place at an endpoint, given back when dropped.
#[derive(Debug)]
pub struct EndpointSlot {
    /// The endpoint.
    pub endpoint: EndpointId,
    target: RouteTarget,
    admission: Weak<Admission>,
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        if let Some(admission) = self.admission.upgrade() {
            admission.inner.borrow_mut().table.finish(&self.endpoint);
            admission.start_waiting(&self.target);
        }
    }
}

impl Admission {
    /// No endpoints and empty queues, each for `queue_limit` requests.
    pub fn new(policy: PolicyKind, seed: u64, queue_limit: usize) -> Rc<Self> {
        let state = AdmissionState {
            table: EndpointTable::new(SelectedPolicy::new(policy, seed)),
            health: EndpointHealth::default(),
            routes: None,
            queues: BTreeMap::new(),
            delay: ReturnDelay::new(seed),
            queue_limit,
        };
        Rc::new_cyclic(|this| Self { this: this.clone(), inner: RefCell::new(state) })
    }

    /// Takes over the endpoints of a configuration.
    pub fn set_routes(&self, routes: Rc<RouteTable>) {
        let mut state = self.inner.borrow_mut();
        for endpoint in routes.endpoints.values() {
            state.table.upsert(endpoint.id.clone(), endpoint.slots);
        }
        state.table.retain(|id| routes.endpoints.contains_key(id));
        state.routes = Some(routes);
        drop(state);
        self.start_all();
    }

    /// Changes what is known of the endpoints' health.
    pub fn update_health(&self, change: impl FnOnce(&mut EndpointHealth)) {
        change(&mut self.inner.borrow_mut().health);
        self.start_all();
    }

    /// Takes in an endpoint's load report.
    pub fn record_report(&self, endpoint: &EndpointId, report: LoadReport) {
        self.inner.borrow_mut().table.record_report(endpoint, report);
        self.start_all();
    }

    /// Takes in the time to the first token.
    pub fn record_first_token(&self, endpoint: &EndpointId, prompt_tokens: u32, elapsed_ms: f64) {
        self.inner.borrow_mut().table.record_first_token(endpoint, prompt_tokens, elapsed_ms);
    }

    /// Takes in the time of a whole answer.
    pub fn record_answer(&self, endpoint: &EndpointId, tokens: u32, elapsed_ms: f64) {
        self.inner.borrow_mut().table.record_answer(endpoint, tokens, elapsed_ms);
    }

    /// The endpoints for a state dump.
    pub fn dump(&self) -> EndpointTableDump {
        self.inner.borrow().table.dump()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.inner.borrow().queues.values().map(FairQueue::len).sum()
    }

    /// Asks for an endpoint. The slot arrives through the receiver; the queue forgets a request whose
    /// receiver was dropped. A cancelled receiver means that the request was displaced from a full queue.
    ///
    /// # Errors
    ///
    /// A refusal if no endpoint can take the request now or soon.
    pub fn request(
        &self,
        request: AdmissionRequest,
    ) -> Result<oneshot::Receiver<EndpointSlot>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let target = request.target.clone();
        let mut state = self.inner.borrow_mut();
        if !state.has_candidate(&request) {
            let message = "no live endpoint can take the request";
            let refusal =
                Refusal::not_run(RefusalCode::NoEndpoint, message, RepeatAdvice::AfterDelay);
            return Err(refusal.after_ms(state.delay.after_expected(EXPECTED_ROOM_MS)));
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
                // Dropping the sender of a displaced request tells its task.
                drop(displaced);
                self.start_waiting(&target);
                Ok(receiver)
            }
            Err(_) => Err(self.overloaded()),
        }
    }

    /// The refusal of a request for which there is no room.
    pub fn overloaded(&self) -> Refusal {
        let delay_ms = self.inner.borrow_mut().delay.after_expected(EXPECTED_ROOM_MS);
        let message = "all endpoints are busy and the queue is full";
        Refusal::not_run(RefusalCode::Overloaded, message, RepeatAdvice::AfterDelay)
            .after_ms(delay_ms)
    }

    fn start_all(&self) {
        let targets: Vec<_> = self.inner.borrow().queues.keys().cloned().collect();
        for target in targets {
            self.start_waiting(&target);
        }
    }

    /// Gives free slots to waiting requests of a target.
    fn start_waiting(&self, target: &RouteTarget) {
        loop {
            let (gone, started) = self.inner.borrow_mut().start_next(target);
            // Senders are dropped outside the borrow, because that wakes their tasks.
            drop(gone);
            let Some((waiting, endpoint)) = started else { return };
            let slot =
                EndpointSlot { endpoint, target: target.clone(), admission: self.this.clone() };
            // A slot that nobody waits for any more comes back and is given to the next request.
            drop(waiting.sender.send(slot));
        }
    }
}

type StartedRequest = (WaitingRequest, EndpointId);

impl AdmissionState {
    fn start_next(
        &mut self,
        target: &RouteTarget,
    ) -> (Vec<QueuedRequest<WaitingRequest>>, Option<StartedRequest>) {
        let Some(mut queue) = self.queues.remove(target) else { return (Vec::new(), None) };
        let gone = queue.take_if(|queued| queued.payload.sender.is_canceled());
        let mut passed_over = Vec::new();
        let mut started = None;
        while let Some(queued) = queue.pop() {
            match self.begin(&queued.payload.request) {
                Some(endpoint) => {
                    started = Some((queued.payload, endpoint));
                    break;
                }
                None => {
                    // A request that excludes the free endpoints does not hold up the others.
                    let is_general = queued.payload.request.excluded.is_empty();
                    passed_over.push(queued);
                    if is_general {
                        break;
                    }
                }
            }
        }
        for queued in passed_over {
            // There is room, since the request was taken out above.
            drop(queue.push(queued));
        }
        if !queue.is_empty() {
            self.queues.insert(target.clone(), queue);
        }
        (gone, started)
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
        && !request.excluded.contains(endpoint)
        && !health.is_leaving(endpoint, &config.instance, now)
}
