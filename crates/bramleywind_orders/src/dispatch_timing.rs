use std::time::Duration;

/// The intervals and time limits of order dispatch. Tests use shorter ones.
///
/// ```
/// use std::time::Duration;
/// use bramleywind_orders::DispatchTiming;
///
/// let timing = DispatchTiming::default();
/// assert_eq!(timing.settle_time(), Duration::from_secs(19));
/// assert_eq!(timing.reconcile_interval(10), Duration::from_secs(5));
/// assert_eq!(timing.reconcile_interval(810), Duration::from_millis(32_400));
/// assert_eq!(timing.contention_interval(6), Duration::from_secs(12));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchTiming {
    /// The lifetime of the lease without a renewal.
    pub lease_time: Duration,
    /// The time after a renewal at which the next one is due.
    pub renewal_interval: Duration,
    /// The maximum time from the last check of the lease to the end of the order's call.
    pub order_timeout: Duration,
    /// The minimum remaining lifetime of the lease when an order's call ends. Covers clocks that run at
    /// different speeds.
    pub margin: Duration,
    /// The time limit for reading an engine's state.
    pub read_timeout: Duration,
    /// The time after which an order is repeated if the engine's state does not show its result. Loading takes
    /// minutes, and each repetition of a load costs a permit.
    pub repeat_interval: Duration,
    /// The minimum time between two reconciliation rounds over all engines.
    pub min_reconcile_interval: Duration,
    /// The time between two reconciliation rounds per engine. At 810 engines, 40 ms amounts to 25 reads/s of
    /// about 600 bytes, or 15 KB/s of the 26 KB/s that a node may use.
    pub reconcile_interval_per_engine: Duration,
    /// The average time between two attempts of the whole fleet to acquire a lease that is held. Each router
    /// waits this long per router in the fleet, so the load on the store does not grow with the fleet.
    pub contention_time: Duration,
}

impl Default for DispatchTiming {
    fn default() -> Self {
        Self {
            lease_time: Duration::from_secs(15),
            renewal_interval: Duration::from_secs(5),
            order_timeout: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            read_timeout: Duration::from_secs(1),
            repeat_interval: Duration::from_secs(60),
            min_reconcile_interval: Duration::from_secs(5),
            reconcile_interval_per_engine: Duration::from_millis(40),
            contention_time: Duration::from_secs(2),
        }
    }
}

impl DispatchTiming {
    /// Returns how long a new holder waits before its first order to an engine that ignores fencing tokens.
    ///
    /// The previous holder's lease has ended when the store grants it to another process. The new holder waits
    /// for the full lease time nevertheless, because a lease that was released, or whose acquisition got no
    /// answer, does not tell when its holder last checked it.
    pub fn settle_time(&self) -> Duration {
        self.lease_time + self.order_timeout
    }

    /// Returns the time between two reconciliation rounds over this many engines.
    pub fn reconcile_interval(&self, engines: usize) -> Duration {
        let engines = u32::try_from(engines).unwrap_or(u32::MAX);
        self.min_reconcile_interval.max(self.reconcile_interval_per_engine.saturating_mul(engines))
    }

    /// Returns the time between two attempts of one router, in a fleet of `routers`, to acquire the lease.
    pub fn contention_interval(&self, routers: usize) -> Duration {
        self.contention_time.saturating_mul(u32::try_from(routers.max(1)).unwrap_or(u32::MAX))
    }
}
