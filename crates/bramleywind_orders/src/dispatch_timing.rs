use std::time::Duration;

/// The times of the duty. Tests shorten them.
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
    /// How long the lease lasts without a renewal.
    pub lease_time: Duration,
    /// How long after a renewal the next one is due.
    pub renewal_time: Duration,
    /// The longest time from the last look at the lease to the end of an order's call.
    pub order_time: Duration,
    /// What is left of the lease at least when an order's call ends, for clocks that run at unlike speeds.
    pub margin: Duration,
    /// How long a read of an engine's state may take.
    pub read_time: Duration,
    /// How long an order that has not shown in the engine's state is not sent again; loading takes minutes,
    /// and each repetition costs a permit.
    pub repeat_time: Duration,
    /// The shortest time between two rounds over all engines.
    pub reconcile_time: Duration,
    /// The time between two rounds for each engine. At 810 engines, 40 ms makes 25 reads/s of about 600
    /// bytes, or 15 KB/s of the 26 KB/s that a node may use.
    pub reconcile_time_per_engine: Duration,
    /// The time between two attempts of the whole fleet to take a lease that another holds. Each router waits
    /// this long for each router of the fleet, so the load on the store does not grow with the fleet.
    pub contention_time: Duration,
}

impl Default for DispatchTiming {
    fn default() -> Self {
        Self {
            lease_time: Duration::from_secs(15),
            renewal_time: Duration::from_secs(5),
            order_time: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            read_time: Duration::from_secs(1),
            repeat_time: Duration::from_secs(60),
            reconcile_time: Duration::from_secs(5),
            reconcile_time_per_engine: Duration::from_millis(40),
            contention_time: Duration::from_secs(2),
        }
    }
}

impl DispatchTiming {
    /// How long a new holder waits before its first order to an engine that ignores the fencing token.
    ///
    /// The lease of the previous holder has ended when the store gives it to another; the full time is waited
    /// all the same, because a lease that was given back, or whose acquisition was lost, tells nothing of
    /// when its holder last looked at it.
    pub fn settle_time(&self) -> Duration {
        self.lease_time + self.order_time
    }

    /// How long to wait between two rounds over this many engines.
    pub fn reconcile_interval(&self, engines: usize) -> Duration {
        let engines = u32::try_from(engines).unwrap_or(u32::MAX);
        self.reconcile_time.max(self.reconcile_time_per_engine.saturating_mul(engines))
    }

    /// How long a router of a fleet of `routers` waits between two attempts to take the lease.
    pub fn contention_interval(&self, routers: usize) -> Duration {
        self.contention_time.saturating_mul(u32::try_from(routers.max(1)).unwrap_or(u32::MAX))
    }
}
