use std::time::Duration;

use bramleywind_types::TokenCount;

use super::HolderGrant;

/// How a grant's standby tokens become spendable after the process's last presence record.
///
/// The longer a process has been out of reach of the store, the more of its standby tokens it may spend. A successor that
/// knows the age of the record therefore knows how many of them can have been spent at most. The pace follows the use at
/// the time of the grant, so that a loss of all processes in an outage strands little more than what was used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StandbyRelease {
    standby: f64,
    /// Tokens that become spendable a second, after [`DELAY`].
    pace: f64,
}

/// The age of the presence record up to which no standby token may be spent: two rounds in which the store does not
/// answer. Working tokens bridge it.
const DELAY: Duration = Duration::from_millis(1_800);

/// How many times the use at the time of the grant is released. Use is uneven between gateways, and a loan between them
/// takes a moment.
const USE_MARGIN: f64 = 1.5;

/// The longest time over which standby tokens are released, in seconds: a process without use lends its own to others, who
/// may need them.
const LONGEST_SECONDS: f64 = 30.0;

/// What two comparisons of clocks may differ by: twice the longest time that one may take.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

impl StandbyRelease {
    /// The release of a grant.
    pub fn new(grant: HolderGrant) -> Self {
        let standby = grant.standby.0 as f64;
        let pace = (grant.use_rate.0 as f64 * USE_MARGIN).max(standby / LONGEST_SECONDS);
        Self { standby, pace }
    }

    /// The standby tokens that may be spent when the last presence record has this age.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bramleywind_gateway::funds::{HolderGrant, StandbyRelease, TokenRate};
    /// use bramleywind_types::TokenCount;
    ///
    /// let grant = HolderGrant {
    ///     working: TokenCount(2_000),
    ///     standby: TokenCount(16_000),
    ///     use_rate: TokenRate(1_000),
    /// };
    /// let release = StandbyRelease::new(grant);
    /// assert_eq!(release.spendable(Duration::from_millis(1_800)), TokenCount(0));
    /// assert_eq!(release.spendable(Duration::from_millis(7_200)), TokenCount(8_100));
    /// assert_eq!(release.spendable(Duration::from_secs(60)), TokenCount(16_000));
    /// ```
    pub fn spendable(self, age: Duration) -> TokenCount {
        TokenCount(self.released(age) as u64)
    }

    /// What an ended process can have spent of them at most, if its successor takes its record for this old.
    pub fn spent_at_most(self, age: Duration) -> TokenCount {
        TokenCount(self.released(age + CLOCK_MARGIN).ceil() as u64)
    }

    fn released(self, age: Duration) -> f64 {
        (age.saturating_sub(DELAY).as_secs_f64() * self.pace).min(self.standby)
    }
}
