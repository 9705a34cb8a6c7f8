use std::{cell::Cell, time::Duration};

/// The maximum age at which a comparison of clocks is used. Quartz clocks drift by less than a millisecond in this
/// time.
const MAX_COMPARISON_AGE: Duration = Duration::from_secs(10);

/// The minimum number of clocks, including the own one, whose median is trusted.
pub(super) const MIN_CLOCKS: usize = 3;

/// The maximum duration of a comparison: the timeout for each clock's answer plus some scheduling delay. It is exceeded
/// if the process was paused in the meantime, and the answers are outdated.
const MAX_COMPARISON_MS: u64 = 150;

/// A clock for the time of day on which most instances agree.
///
/// The time of day of a single instance may jump by seconds. The median of several clocks is correct as long as most of
/// them are. Between two comparisons, the time is advanced by the clock that counts from the instance's boot.
#[derive(Debug, Default)]
pub struct FleetClock {
    comparison: Cell<Option<Comparison>>,
}

#[derive(Debug, Clone, Copy)]
struct Comparison {
    /// The median time of day in Unix milliseconds.
    fleet_ms: u64,
    /// The time of the comparison in milliseconds since the instance's boot.
    boot_ms: u64,
}

impl FleetClock {
    /// Compares the times of day of several clocks, including the own one. They were requested at `asked_at_ms` and
    /// received by `answered_at_ms`, both in milliseconds since the instance's boot. Returns `false` if they are too
    /// few or too old to be trusted.
    ///
    /// ```
    /// use bramleywind_gateway::members::FleetClock;
    ///
    /// let clock = FleetClock::default();
    /// // One of the three clocks has jumped ahead.
    /// assert!(clock.compare(&mut [70_000, 1_005, 1_000], 490, 500));
    /// assert_eq!(clock.now(600), Some(1_105));
    /// assert_eq!(clock.now(60_000), None);
    /// ```
    pub fn compare(&self, times: &mut [u64], asked_at_ms: u64, answered_at_ms: u64) -> bool {
        let took_ms = answered_at_ms.saturating_sub(asked_at_ms);
        if times.len() < MIN_CLOCKS || took_ms > MAX_COMPARISON_MS {
            return false;
        }
        times.sort_unstable();
        let fleet_ms = times[times.len() / 2];
        self.comparison.set(Some(Comparison { fleet_ms, boot_ms: answered_at_ms }));
        true
    }

    /// Returns the time of day at `boot_ms` in Unix milliseconds, or `None` if no recent comparison exists.
    pub fn now(&self, boot_ms: u64) -> Option<u64> {
        let comparison = self.comparison.get()?;
        let age = boot_ms.checked_sub(comparison.boot_ms)?;
        (u128::from(age) <= MAX_COMPARISON_AGE.as_millis()).then(|| comparison.fleet_ms + age)
    }

    /// Returns the age that an event of `since_ms`, in Unix milliseconds, had at the past moment `at_ms`. Both `at_ms`
    /// and the current time `boot_ms` are in milliseconds since the instance's boot. Returns `None` if no recent
    /// comparison exists.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bramleywind_gateway::members::FleetClock;
    ///
    /// let clock = FleetClock::default();
    /// clock.compare(&mut [20_000, 20_000, 20_000], 500, 500);
    /// assert_eq!(clock.age_at(18_000, 200, 600), Some(Duration::from_millis(1_700)));
    /// ```
    pub fn age_at(&self, since_ms: u64, at_ms: u64, boot_ms: u64) -> Option<Duration> {
        let elapsed_ms = boot_ms.saturating_sub(at_ms);
        let age_ms = self.now(boot_ms)?.saturating_sub(since_ms);
        Some(Duration::from_millis(age_ms.saturating_sub(elapsed_ms)))
    }
}
