use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::poll_fn,
    task::{Context, Poll, Waker},
};

/// Wakes all tasks that wait for a change of some state.
///
/// A task reads the generation before it looks at the state and waits for the generation to change, so it
/// misses no change in between.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    generation: Cell<u64>,
    next_listener: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

/// One task that waits for a signal.
///
/// It registers at most one waker, however often it is polled. Two wakers of one task need not compare as
/// equal, so without this each registered waker would cause a poll that registers another.
pub(crate) struct SignalListener<'a> {
    signal: &'a Signal,
    id: u64,
    since: u64,
}

impl Signal {
    /// Returns the number of notifications so far, to be passed to `listen` or `changed`.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Starts a new generation and wakes all listeners.
    pub(crate) fn notify(&self) {
        self.generation.set(self.generation.get().wrapping_add(1));
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        wakers.into_values().for_each(Waker::wake);
    }

    /// Creates a listener for any notification after generation `since`.
    pub(crate) fn listen(&self, since: u64) -> SignalListener<'_> {
        let id = self.next_listener.get();
        self.next_listener.set(id.wrapping_add(1));
        SignalListener { signal: self, id, since }
    }

    /// Waits for a notification after generation `since`.
    pub(crate) async fn changed(&self, since: u64) {
        let listener = self.listen(since);
        poll_fn(|context| listener.poll_changed(context)).await;
    }
}

impl SignalListener<'_> {
    /// Returns `Ready` if the generation has changed, and otherwise registers the task's waker.
    pub(crate) fn poll_changed(&self, context: &Context<'_>) -> Poll<()> {
        if self.signal.generation.get() != self.since {
            return Poll::Ready(());
        }
        self.signal.wakers.borrow_mut().insert(self.id, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for SignalListener<'_> {
    fn drop(&mut self) {
        self.signal.wakers.borrow_mut().remove(&self.id);
    }
}
