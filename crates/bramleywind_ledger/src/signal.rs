use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    task::{Context, Poll, Waker},
};

/// Wakes all tasks that wait for a change. A waiter that noted the generation before it looked at the state
/// misses no change.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    generation: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    pub(crate) fn notify(&self) {
        self.generation.set(self.generation.get().wrapping_add(1));
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        wakers.into_iter().for_each(Waker::wake);
    }

    pub(crate) fn poll_changed(&self, since: u64, context: &Context<'_>) -> Poll<()> {
        if self.generation.get() != since {
            return Poll::Ready(());
        }
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
            wakers.push(context.waker().clone());
        }
        Poll::Pending
    }

    pub(crate) async fn changed(&self, since: u64) {
        poll_fn(|context| self.poll_changed(since, context)).await;
    }
}
