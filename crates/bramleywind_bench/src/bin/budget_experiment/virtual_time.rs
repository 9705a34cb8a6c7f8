//! An async runtime whose clock jumps to the next timer, so that minutes of traffic take seconds and every run with
//! the same seed is the same.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, Wake, Waker},
    time::{Duration, Instant},
};

use bramleywind_ledger::LedgerClock;

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// The router that a task belongs to. Its tasks stop when it is paused or killed.
pub type Owner = usize;

struct TaskWaker {
    id: u64,
    ready: Arc<Mutex<VecDeque<u64>>>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner).push_back(self.id);
    }
}

#[derive(Default)]
struct RuntimeState {
    tasks: BTreeMap<u64, (Owner, Option<Task>)>,
    /// Tasks that were woken while their owner was paused, and that run when it is resumed.
    deferred: Vec<u64>,
    paused: Vec<Owner>,
    killed: Vec<Owner>,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    wakers: BTreeMap<u64, Waker>,
    next_id: u64,
}

/// A single-threaded runtime with a virtual clock. Clones share the same state.
#[derive(Clone)]
pub struct VirtualRuntime {
    clock: LedgerClock,
    state: Rc<RefCell<RuntimeState>>,
    ready: Arc<Mutex<VecDeque<u64>>>,
}

impl VirtualRuntime {
    pub fn new() -> Self {
        Self { clock: LedgerClock::manual(), state: Rc::default(), ready: Arc::default() }
    }

    /// Returns the virtual clock, for the ledgers.
    pub fn clock(&self) -> LedgerClock {
        self.clock.clone()
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Starts a task, unless its owner was killed.
    pub fn spawn(&self, owner: Owner, task: impl Future<Output = ()> + 'static) {
        let mut state = self.state.borrow_mut();
        if state.killed.contains(&owner) {
            return;
        }
        let id = state.next_id;
        state.next_id += 1;
        state.tasks.insert(id, (owner, Some(Box::pin(task))));
        self.push_ready(id);
    }

    /// Waits until the virtual clock has advanced by `time`.
    pub async fn sleep(&self, time: Duration) {
        let deadline = self.now() + time;
        let registered = Cell::new(false);
        poll_fn(|context| {
            if self.now() >= deadline {
                return Poll::Ready(());
            }
            if !registered.replace(true) {
                let mut state = self.state.borrow_mut();
                let id = state.next_id;
                state.next_id += 1;
                state.timers.push(Reverse((deadline, id)));
                state.wakers.insert(id, context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }

    /// Spawns a task of another owner and waits for its result, as a call over the network does. Returns `None` if the
    /// result does not come within `limit`.
    pub async fn call<T: 'static>(
        &self,
        owner: Owner,
        limit: Duration,
        task: impl Future<Output = T> + 'static,
    ) -> Option<T> {
        let slot: Rc<RefCell<(Option<T>, Option<Waker>)>> = Rc::new(RefCell::new((None, None)));
        let result = Rc::clone(&slot);
        self.spawn(owner, async move {
            let value = task.await;
            let waker = {
                let mut slot = result.borrow_mut();
                slot.0 = Some(value);
                slot.1.take()
            };
            waker.into_iter().for_each(Waker::wake);
        });
        let mut timeout = Box::pin(self.sleep(limit));
        poll_fn(|context| {
            let mut slot = slot.borrow_mut();
            if let Some(value) = slot.0.take() {
                return Poll::Ready(Some(value));
            }
            slot.1 = Some(context.waker().clone());
            timeout.as_mut().poll(context).map(|()| None)
        })
        .await
    }

    /// Stops running the tasks of an owner until [`VirtualRuntime::resume`].
    pub fn pause(&self, owner: Owner) {
        self.state.borrow_mut().paused.push(owner);
    }

    /// Runs the tasks of an owner again, including those that were woken meanwhile.
    pub fn resume(&self, owner: Owner) {
        let deferred = {
            let mut state = self.state.borrow_mut();
            state.paused.retain(|paused| *paused != owner);
            std::mem::take(&mut state.deferred)
        };
        deferred.into_iter().for_each(|id| self.push_ready(id));
    }

    /// Drops the tasks of an owner and starts no new ones for it.
    pub fn kill(&self, owner: Owner) {
        let dropped: Vec<_> = {
            let mut state = self.state.borrow_mut();
            state.killed.push(owner);
            let ids = state.tasks.iter().filter(|(_, task)| task.0 == owner);
            let ids: Vec<u64> = ids.map(|(id, _)| *id).collect();
            ids.into_iter().filter_map(|id| state.tasks.remove(&id)).collect()
        };
        drop(dropped);
    }

    fn push_ready(&self, id: u64) {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner).push_back(id);
    }

    fn pop_ready(&self) -> Option<u64> {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }

    /// Runs all tasks, until the next timer is later than `end` or none is left.
    pub fn run_until(&self, end: Instant) {
        loop {
            while let Some(id) = self.pop_ready() {
                self.poll_task(id);
            }
            let waker = {
                let mut state = self.state.borrow_mut();
                let Some(Reverse((deadline, id))) = state.timers.peek().copied() else { return };
                if deadline > end {
                    return;
                }
                state.timers.pop();
                self.clock.advance(deadline.saturating_duration_since(self.clock.now()));
                state.wakers.remove(&id)
            };
            waker.into_iter().for_each(Waker::wake);
        }
    }

    fn poll_task(&self, id: u64) {
        let task = {
            let mut state = self.state.borrow_mut();
            let Some((owner, _)) = state.tasks.get(&id) else { return };
            if state.paused.contains(owner) {
                state.deferred.push(id);
                return;
            }
            state.tasks.get_mut(&id).and_then(|(_, task)| task.take())
        };
        let Some(mut task) = task else { return };
        let waker = Waker::from(Arc::new(TaskWaker { id, ready: Arc::clone(&self.ready) }));
        let is_done = task.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        let mut state = self.state.borrow_mut();
        if is_done {
            state.tasks.remove(&id);
        } else if let Some(slot) = state.tasks.get_mut(&id) {
            slot.1 = Some(task);
        }
    }
}
