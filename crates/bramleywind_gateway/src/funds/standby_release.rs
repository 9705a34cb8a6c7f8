use std::time::Duration;

/// How standby tokens become spendable after a process's last presence record.
///
/// The longer a process has been out of reach of the store, the more of its standby tokens it may spend. A successor that
/// knows the age of the record therefore knows how many of them can have been spent at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandbyRelease;

/// The age of the presence record up to which no standby token may be spent: two rounds in which the store does not
/// answer. Working tokens bridge it.
const DELAY: Duration = Duration::from_millis(2_200);

/// The time over which all standby tokens become spendable after that. Outages of eight to nine seconds are bridged, at a
/// few times the usual use.
const RELEASE_TIME: Duration = Duration::from_secs(8);

/// What two comparisons of clocks may differ by, and the time that a record needs to reach the store.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

impl StandbyRelease {
    /// The part of the standby tokens that may be spent when the last presence record has this age, from 0 to 1.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bramleywind_gateway::funds::StandbyRelease;
    ///
    /// assert_eq!(StandbyRelease.spendable(Duration::from_secs(2)), 0.0);
    /// assert_eq!(StandbyRelease.spendable(Duration::from_millis(6_200)), 0.5);
    /// assert_eq!(StandbyRelease.spendable(Duration::from_secs(60)), 1.0);
    /// ```
    pub fn spendable(self, age: Duration) -> f64 {
        (age.saturating_sub(DELAY).as_secs_f64() / RELEASE_TIME.as_secs_f64()).min(1.0)
    }

    /// The part that an ended process can have spent at most, if its successor takes its record for this old.
    pub fn spent_at_most(self, age: Duration) -> f64 {
        self.spendable(age + CLOCK_MARGIN)
    }
}
