use std::{
    fmt,
    future::poll_fn,
    io,
    mem::ManuallyDrop,
    pin::Pin,
    task::{Context, Poll},
};

use compio::signal::unix::signal;

use crate::SignalKind;

/// The signals that are received. Their numbers are the same on all Unix systems.
const RECEIVED: [(i32, SignalKind); 3] =
    [(1, SignalKind::Reload), (2, SignalKind::Stop), (15, SignalKind::Stop)];

/// A listener of one signal, which is registered once it was polled.
type Listener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// The signals that ask a daemon to stop or to reload.
///
/// The library restores a signal's default action, which ends the process, when the last listener of that signal is dropped, and a
/// listener ends with the first signal. So one listener of each signal is kept until the process ends, and never polled again.
pub struct DaemonSignals {
    _kept: ManuallyDrop<Vec<Listener>>,
    active: Vec<(i32, SignalKind, Listener)>,
}

impl DaemonSignals {
    /// Registers all listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if a signal cannot be received.
    ///
    /// ```
    /// use bramleywind_signals::DaemonSignals;
    ///
    /// compio::runtime::Runtime::new().unwrap().block_on(async {
    ///     assert!(DaemonSignals::register().await.is_ok());
    /// });
    /// ```
    pub async fn register() -> io::Result<Self> {
        poll_fn(|context| Poll::Ready(Self::register_with(context))).await
    }

    fn register_with(context: &mut Context<'_>) -> io::Result<Self> {
        let (mut kept, mut active) = (Vec::new(), Vec::new());
        for (number, kind) in RECEIVED {
            kept.push(listen(number, context)?);
            active.push((number, kind, listen(number, context)?));
        }
        Ok(Self { _kept: ManuallyDrop::new(kept), active })
    }

    /// Waits for the next signal. Signals of the same kind that arrive together count as one.
    ///
    /// # Errors
    ///
    /// Returns an error if signals cannot be received any more.
    pub async fn next(&mut self) -> io::Result<SignalKind> {
        poll_fn(|context| {
            for (number, kind, listener) in &mut self.active {
                if let Poll::Ready(outcome) = listener.as_mut().poll(context) {
                    let next = outcome.and_then(|()| listen(*number, context));
                    return Poll::Ready(next.map(|next| {
                        *listener = next;
                        *kind
                    }));
                }
            }
            Poll::Pending
        })
        .await
    }
}

impl fmt::Debug for DaemonSignals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DaemonSignals").field("received", &RECEIVED).finish_non_exhaustive()
    }
}

/// Registers a listener. The first poll does that, and finds no signal yet.
fn listen(number: i32, context: &mut Context<'_>) -> io::Result<Listener> {
    let mut listener: Listener = Box::pin(signal(number));
    match listener.as_mut().poll(context) {
        Poll::Ready(Err(error)) => Err(error),
        Poll::Ready(Ok(())) | Poll::Pending => Ok(listener),
    }
}
