use std::{cell::Cell, time::Duration};

/// How long a comparison of clocks holds. Quartz clocks drift by less than a millisecond in this time.
const LONGEST_AGE: Duration = Duration::from_secs(10);

/// The fewest clocks, the own one included, whose median is believed.
const FEWEST_CLOCKS: usize = 3;

/// The longest time that a comparison may take, in milliseconds: the time that each clock has to answer, and some
/// scheduling. What was told is older than that if the process stood still meanwhile.
const LONGEST_COMPARISON_MS: u64 = 150;

/// The time of day on which most instances agree.
///
/// The time of day of a single instance may jump by seconds. The median of several is right as long as most of them
/// are; between two comparisons, the clock that counts from the instance's start carries it on.
#[derive(Debug, Default)]
pub struct FleetClock {
    comparison: Cell<Option<Comparison>>,
}

#[derive(Debug, Clone, Copy)]
struct Comparison {
    fleet_ms: u64,
    boot_ms: u64,
}

impl FleetClock {
    /// Compares clocks: the times of day, the own one included, that were asked for at `asked_at_ms` and known at
    /// `told_at_ms`, in milliseconds since the instance's start. False if they are too few or too old to be believed.
    ///
    /// ```
    /// use bramleywind_gateway::members::FleetClock;
    ///
    /// let clock = FleetClock::default();
    /// // One of the three has jumped ahead.
    /// assert!(clock.compare(&mut [70_000, 1_005, 1_000], 490, 500));
    /// assert_eq!(clock.now(600), Some(1_105));
    /// assert_eq!(clock.now(60_000), None);
    /// ```
    pub fn compare(&self, told: &mut [u64], asked_at_ms: u64, told_at_ms: u64) -> bool {
        let took_ms = told_at_ms.saturating_sub(asked_at_ms);
        if told.len() < FEWEST_CLOCKS || took_ms > LONGEST_COMPARISON_MS {
            return false;
        }
        told.sort_unstable();
        let fleet_ms = told[told.len() / 2];
        self.comparison.set(Some(Comparison { fleet_ms, boot_ms: told_at_ms }));
        true
    }

    /// The time of day at `boot_ms`, in Unix milliseconds; nothing if the clocks were not compared lately.
    pub fn now(&self, boot_ms: u64) -> Option<u64> {
        let comparison = self.comparison.get()?;
        let age = boot_ms.checked_sub(comparison.boot_ms)?;
        (u128::from(age) <= LONGEST_AGE.as_millis()).then(|| comparison.fleet_ms + age)
    }

    /// How old something that happened at `since_ms`, in Unix milliseconds, was at the earlier moment `then_ms`. Both it and
    /// the present moment `boot_ms` are in milliseconds since the instance's start.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bramleywind_gateway::members::FleetClock;
    ///
    /// let clock = FleetClock::default();
    /// clock.compare(&mut [20_000, 20_000, 20_000], 500, 500);
    /// assert_eq!(clock.age_at(18_000, 200, 600), Some(Duration::from_millis(1_700)));
    /// ```
    pub fn age_at(&self, since_ms: u64, then_ms: u64, boot_ms: u64) -> Option<Duration> {
        let passed_ms = boot_ms.saturating_sub(then_ms);
        let age_ms = self.now(boot_ms)?.saturating_sub(since_ms);
        Some(Duration::from_millis(age_ms.saturating_sub(passed_ms)))
    }
}
