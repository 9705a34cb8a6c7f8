use std::time::Duration;

use bramleywind_types::TokenCount;

use super::HolderGrant;

/// The rate at which a grant's standby tokens become spendable after the process's last presence record.
///
/// The longer a process cannot reach the store, the more of its standby tokens it may spend. A successor that knows the
/// age of the presence record therefore knows how many of them can have been spent at most. The rate follows the usage
/// at the time of the grant, so that a loss of all processes in an outage strands little more than the tokens that were
/// used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StandbyRelease {
    standby: f64,
    /// Tokens that become spendable per second after [`RELEASE_DELAY`].
    rate: f64,
}

/// The age of the presence record up to which no standby tokens may be spent. It allows for two consecutive presence
/// writes that the store does not answer; working tokens cover this time.
const RELEASE_DELAY: Duration = Duration::from_millis(1_800);

/// The release rate as a multiple of the usage rate at the time of the grant. Usage is uneven between gateways, and a
/// loan between them takes some time.
const RATE_MARGIN: f64 = 1.5;

/// The maximum time over which standby tokens are released. It bounds the time for a process without usage, which lends
/// its tokens to other processes that may need them.
const MAX_RELEASE_SECONDS: f64 = 30.0;

/// The maximum difference between two clock comparisons: twice the maximum duration of one.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

impl StandbyRelease {
    /// Returns the release schedule of a grant.
    pub fn new(grant: HolderGrant) -> Self {
        let standby = grant.standby.0 as f64;
        let rate = (grant.use_rate.0 as f64 * RATE_MARGIN).max(standby / MAX_RELEASE_SECONDS);
        Self { standby, rate }
    }

    /// Returns the standby tokens that may be spent when the last presence record has this age.
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

    /// Returns the maximum number of standby tokens that an ended process can have spent, where `age` is the age of its
    /// presence record as judged by its successor.
    pub fn max_spent(self, age: Duration) -> TokenCount {
        TokenCount(self.released(age + CLOCK_MARGIN).ceil() as u64)
    }

    fn released(self, age: Duration) -> f64 {
        (age.saturating_sub(RELEASE_DELAY).as_secs_f64() * self.rate).min(self.standby)
    }
}
