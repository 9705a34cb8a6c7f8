//! The scheduler of an engine: continuous batching behind a priority queue.

use std::{
    cell::RefCell,
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use futures_channel::mpsc;
use futures_util::StreamExt as _;

use super::{
    chat_messages::{ChatRequest, ChatUsage},
    engine_faults::{EngineFaults, UsageFault},
    engine_options::EngineOptions,
    engine_reports::{
        CacheEvent, EngineInventory, EngineOrder, EngineState, EngineStats, LoadReport, OrderKind,
        OrderRecord,
    },
    generation::{Generation, GenerationBody},
    prefix_cache::PrefixCache,
};
use crate::{http_server::OutageSender, lagged_value::LaggedValue};

/// The shortest step. A step generates tokens for the whole batch, so that timers do not limit a fast engine.
const MIN_STEP: Duration = Duration::from_millis(2);

/// The longest step; it bounds the delay with which a slow engine notices a cancellation or a finished
/// prefill.
const MAX_STEP: Duration = Duration::from_millis(10);

/// The number of tokens that [`UsageFault::TooMuch`] adds to the usage.
const EXCESS_TOKENS: u64 = 1_000_000;

/// The reason why a request is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SubmitError {
    Leaving,
    Failing,
    UnknownModel,
}

/// The scheduler of an engine, with the state of the engine.
#[derive(Debug)]
pub(super) struct EngineScheduler {
    options: EngineOptions,
    outage_sender: OutageSender,
    wake_sender: RefCell<mpsc::Sender<()>>,
    state: RefCell<SchedulerState>,
}

#[derive(Debug)]
struct SchedulerState {
    faults: EngineFaults,
    inventory: EngineInventory,
    /// The waiting requests, ordered by priority and then by arrival.
    queue: Vec<Rc<Generation>>,
    running: Vec<RunningRequest>,
    cache: PrefixCache,
    load: LaggedValue<LoadReport>,
    stats: EngineStats,
    last_id: u64,
    /// Set when the engine crashes at its next step; until then, clients receive the tokens generated so far.
    is_crash_pending: bool,
    crash_waker: Option<Waker>,
}

#[derive(Debug)]
struct RunningRequest {
    generation: Rc<Generation>,
    prefill_deadline: Instant,
    next_token: u32,
    /// The number of tokens that the time since the prefill allows and that are not generated yet.
    token_credit: f64,
}

impl EngineScheduler {
    /// Creates a scheduler and the receiver that wakes its [`run`](Self::run) loop.
    pub(super) fn new(
        options: EngineOptions,
        outage_sender: OutageSender,
    ) -> (Rc<Self>, mpsc::Receiver<()>) {
        let (wake_sender, wake_receiver) = mpsc::channel(1);
        let models = options.models.iter().cloned().collect();
        let inventory = EngineInventory { models, ..EngineInventory::default() };
        let mut state = SchedulerState {
            faults: EngineFaults::default(),
            queue: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::new(options.cache_tokens),
            load: LaggedValue::new(
                load_report(&options, &inventory, EngineState::Live, 0, 0),
                options.load_lag,
            ),
            stats: EngineStats::default(),
            last_id: 0,
            is_crash_pending: false,
            crash_waker: None,
            inventory,
        };
        state.publish_load(&options);
        let state = RefCell::new(state);
        let wake_sender = RefCell::new(wake_sender);
        (Rc::new(Self { options, outage_sender, wake_sender, state }), wake_receiver)
    }

    /// Adds a request to the queue and returns the body of its response.
    pub(super) fn submit(&self, request: ChatRequest) -> Result<GenerationBody, SubmitError> {
        let mut state = self.state.borrow_mut();
        if state.faults.leaving {
            return Err(SubmitError::Leaving);
        }
        if state.faults.fail_next > 0 {
            state.faults.fail_next -= 1;
            return Err(SubmitError::Failing);
        }
        if !state.inventory.models.iter().any(|model| model.as_str() == &*request.model) {
            return Err(SubmitError::UnknownModel);
        }
        state.stats.requests_received += 1;
        state.last_id += 1;
        let id = match &request.request_id {
            Some(id) => id.clone(),
            None => format!("chatcmpl-{}", state.last_id).into(),
        };
        let generation = Rc::new(Generation::new(request, id, self.options.stop_after));
        let priority = generation.request.priority;
        let position = state.queue.partition_point(|queued| queued.request.priority >= priority);
        state.queue.insert(position, generation.clone());
        state.start_queued_requests(&self.options);
        state.publish_load(&self.options);
        // A full channel means that a wake-up is already pending.
        drop(self.wake_sender.borrow_mut().try_send(()));
        Ok(GenerationBody(generation))
    }

    pub(super) fn faults(&self) -> EngineFaults {
        self.state.borrow().faults
    }

    pub(super) fn set_faults(&self, faults: EngineFaults) {
        let mut state = self.state.borrow_mut();
        state.faults = faults;
        state.publish_load(&self.options);
    }

    pub(super) fn stats(&self) -> EngineStats {
        self.state.borrow().stats.clone()
    }

    pub(super) fn inventory(&self) -> EngineInventory {
        self.state.borrow().inventory.clone()
    }

    pub(super) fn load(&self) -> Option<LoadReport> {
        self.state.borrow_mut().load.visible().cloned()
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let options = &self.options;
        self.state.borrow().cache.events(after, options.cache_event_lag, options.cache_event_gap)
    }

    /// Applies an order and records it. Returns false if it is refused because of an old fencing token.
    pub(super) fn apply_order(&self, order: EngineOrder) -> bool {
        let mut state = self.state.borrow_mut();
        let is_accepted = !self.options.checks_fencing || order.fencing >= state.inventory.fencing;
        if is_accepted {
            state.inventory.apply(&order);
        }
        state.stats.orders.push(OrderRecord { order, is_accepted });
        state.publish_load(&self.options);
        is_accepted
    }

    /// Waits until the engine has crashed at least once.
    pub(super) async fn wait_for_crash(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.stats.crashes > 0 {
                return Poll::Ready(());
            }
            state.crash_waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Runs the generation steps until the engine is dropped.
    pub(super) async fn run(self: Rc<Self>, mut wake_receiver: mpsc::Receiver<()>) {
        loop {
            if self.state.borrow().running.is_empty() && wake_receiver.next().await.is_none() {
                return;
            }
            let mut last_step = Instant::now();
            while !self.state.borrow().running.is_empty() {
                let step = self.state.borrow().step_length(&self.options);
                compio::time::sleep_until(last_step + step).await;
                let now = Instant::now();
                self.step(last_step, now);
                last_step = now;
            }
        }
    }

    /// Runs one step for the time since the last one, or the pending crash.
    fn step(&self, last_step: Instant, now: Instant) {
        let mut state = self.state.borrow_mut();
        if state.is_crash_pending {
            self.crash(&mut state, now);
            return;
        }
        let requests_before = state.running.len() + state.queue.len();
        state.remove_cancelled();
        if !state.faults.stalled {
            state.generate_tokens(&self.options, last_step, now);
        }
        state.start_queued_requests(&self.options);
        if state.running.len() + state.queue.len() != requests_before {
            state.publish_load(&self.options);
        }
    }

    /// Drops all requests and the cache, and takes the server down for the configured time.
    fn crash(&self, state: &mut SchedulerState, now: Instant) {
        state.is_crash_pending = false;
        state.faults.die_after_tokens = None;
        state.stats.crashes += 1;
        state.queue.clear();
        state.running.clear();
        state.cache.clear();
        state.publish_load(&self.options);
        self.outage_sender.start_outage(now + self.options.down_time);
        if let Some(waker) = state.crash_waker.take() {
            waker.wake();
        }
    }
}

impl SchedulerState {
    /// Moves requests from the queue into free slots.
    fn start_queued_requests(&mut self, options: &EngineOptions) {
        while self.running.len() < options.slots.max(1) as usize && !self.queue.is_empty() {
            let generation = self.queue.remove(0);
            if generation.is_cancelled() {
                self.stats.requests_cancelled += 1;
                continue;
            }
            self.stats.requests_started += 1;
            let crashes = |marker: &str| {
                generation.request.messages.iter().any(|message| message.content.contains(marker))
            };
            self.is_crash_pending |= options.crash_marker.as_deref().is_some_and(crashes);
            let cached = self.cache.lookup_and_store(generation.prompt_words());
            self.stats.prefix_hits += u64::from(cached > 0);
            self.stats.prefix_hit_tokens += u64::from(cached);
            // The tokens before the resume point are processed like a prompt.
            let unread =
                (generation.prompt_tokens - cached).saturating_add(generation.request.resume_from);
            let speed = f64::from(options.prefill_tokens_per_second.max(1));
            let prefill = Duration::from_secs_f64(f64::from(unread) / speed);
            self.running.push(RunningRequest {
                prefill_deadline: Instant::now() + prefill,
                next_token: generation.request.resume_from,
                // The prefill itself yields the first token.
                token_credit: 1.0,
                generation,
            });
        }
    }

    fn remove_cancelled(&mut self) {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|request| !request.generation.is_cancelled());
        self.queue.retain(|generation| !generation.is_cancelled());
        let after = self.running.len() + self.queue.len();
        self.stats.requests_cancelled += (before - after) as u64;
    }

    /// Generates the tokens that are due and finishes the requests that reached their end.
    fn generate_tokens(&mut self, options: &EngineOptions, last_step: Instant, now: Instant) {
        let speed = request_speed(options, self.running.len());
        let mut tokens_until_crash = self.faults.die_after_tokens.unwrap_or(u64::MAX);
        for request in &mut self.running {
            if now < request.prefill_deadline {
                continue;
            }
            let since = last_step.max(request.prefill_deadline);
            request.token_credit += speed * (now - since).as_secs_f64();
            let remaining = request.generation.end_token.saturating_sub(request.next_token);
            let due = (request.token_credit as u32).min(remaining);
            let count = due.min(u32::try_from(tokens_until_crash).unwrap_or(u32::MAX));
            if count > 0 {
                request.generation.push_tokens(request.next_token, count);
            }
            request.token_credit -= f64::from(count);
            request.next_token += count;
            tokens_until_crash -= u64::from(count);
            self.stats.tokens_generated += u64::from(count);
        }
        if self.faults.die_after_tokens.is_some() {
            self.faults.die_after_tokens = Some(tokens_until_crash);
            if tokens_until_crash == 0 {
                self.is_crash_pending = true;
                return;
            }
        }
        let (faults, stats) = (self.faults, &mut self.stats);
        self.running.retain(|request| {
            let generation = &request.generation;
            // A request may resume at or beyond its end; it has no tokens left and is finished too.
            if now < request.prefill_deadline || request.next_token < generation.end_token {
                return true;
            }
            let generated = request.next_token - generation.request.resume_from;
            let usage = reported_usage(faults.usage, generation.prompt_tokens, generated);
            generation.finish(usage);
            stats.requests_finished += 1;
            false
        });
    }

    /// Returns the time in which a request generates one token, within the bounds of a step.
    fn step_length(&self, options: &EngineOptions) -> Duration {
        let speed = request_speed(options, self.running.len());
        Duration::from_secs_f64(1.0 / speed).clamp(MIN_STEP, MAX_STEP)
    }

    /// Records the current load; the report shows it after its lag.
    fn publish_load(&mut self, options: &EngineOptions) {
        let state = if self.faults.leaving { EngineState::Leaving } else { EngineState::Live };
        let (running, queued) = (self.running.len(), self.queue.len());
        self.load.set(load_report(options, &self.inventory, state, running, queued));
    }
}

impl EngineInventory {
    fn apply(&mut self, order: &EngineOrder) {
        self.fencing = self.fencing.max(order.fencing);
        match (order.order, &order.model) {
            (OrderKind::ChangeRole, _) => self.role.clone_from(&order.role),
            (_, None) => {}
            (OrderKind::LoadModel, Some(model)) => {
                self.models.insert(model.clone());
            }
            (OrderKind::LoadAdapter, Some(model)) => {
                let adapters = self.adapters.entry(model.clone()).or_default();
                adapters.extend(order.adapter.clone());
            }
            (OrderKind::LoadVersion, Some(model)) => {
                if let Some(version) = &order.version {
                    self.versions.insert(model.clone(), version.clone());
                }
            }
        }
    }
}

fn load_report(
    options: &EngineOptions,
    inventory: &EngineInventory,
    state: EngineState,
    running: usize,
    queued: usize,
) -> LoadReport {
    LoadReport {
        running: running as u32,
        queued: queued as u32,
        slots: options.slots,
        tokens_per_second: request_speed(options, running) as u32,
        models: inventory.models.iter().cloned().collect(),
        state,
    }
}

/// Returns the speed of each of `running` requests, in tokens per second. It falls linearly from the full
/// speed of a single request to the speed after the whole slowdown in a full batch.
fn request_speed(options: &EngineOptions, running: usize) -> f64 {
    let others = running.saturating_sub(1) as f64;
    let fill = others / f64::from(options.slots.saturating_sub(1).max(1));
    let lost = f64::from(options.slowdown_percent.min(100)) / 100.0 * fill;
    (f64::from(options.tokens_per_second) * (1.0 - lost)).max(1.0)
}

/// Returns the usage that an engine with the given fault reports.
fn reported_usage(fault: UsageFault, prompt: u32, generated: u32) -> Option<ChatUsage> {
    let (prompt, generated) = (u64::from(prompt), u64::from(generated));
    let (prompt_tokens, completion_tokens) = match fault {
        UsageFault::None => return None,
        UsageFault::Exact => (prompt, generated),
        UsageFault::TooMuch => (prompt, generated + EXCESS_TOKENS),
        UsageFault::TooLittle => (prompt / 2, generated / 2),
    };
    Some(ChatUsage { prompt_tokens, completion_tokens })
}
