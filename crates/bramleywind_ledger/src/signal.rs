use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::poll_fn,
    task::{Context, Poll, Waker},
};

/// Wakes all tasks that wait for a change. A waiter that noted the generation before it looked at the state
/// misses no change.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    generation: Cell<u64>,
    next_listener: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

/// One waiter. It keeps at most one waker in the signal, however often it is polled: wakers of one task
/// need not compare as equal, and each of them would cause a poll that adds another.
pub(crate) struct SignalListener<'a> {
    signal: &'a Signal,
    id: u64,
    since: u64,
}

impl Signal {
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    pub(crate) fn notify(&self) {
        self.generation.set(self.generation.get().wrapping_add(1));
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        wakers.into_values().for_each(Waker::wake);
    }

    pub(crate) fn listen(&self, since: u64) -> SignalListener<'_> {
        let id = self.next_listener.get();
        self.next_listener.set(id.wrapping_add(1));
        SignalListener { signal: self, id, since }
    }

    pub(crate) async fn changed(&self, since: u64) {
        let listener = self.listen(since);
        poll_fn(|context| listener.poll_changed(context)).await;
    }
}

impl SignalListener<'_> {
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
