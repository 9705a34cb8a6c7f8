use std::cell::Cell;

/// The bytes that all connections of this thread have carried so far. A process's connections live on one thread.
///
/// ```
/// use bramleywind_http::TrafficTotals;
///
/// let totals = TrafficTotals::current();
/// assert_eq!((totals.received, totals.sent), (0, 0));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Bytes read from connections.
    pub received: u64,
    /// Bytes written to connections.
    pub sent: u64,
}

thread_local! {
    static TOTALS: Cell<TrafficTotals> = const { Cell::new(TrafficTotals { received: 0, sent: 0 }) };
}

impl TrafficTotals {
    /// Returns the totals of the calling thread.
    pub fn current() -> Self {
        TOTALS.get()
    }

    pub(crate) fn record_received(bytes: usize) {
        let totals = TOTALS.get();
        TOTALS.set(Self { received: totals.received + bytes as u64, ..totals });
    }

    pub(crate) fn record_sent(bytes: usize) {
        let totals = TOTALS.get();
        TOTALS.set(Self { sent: totals.sent + bytes as u64, ..totals });
    }
}
