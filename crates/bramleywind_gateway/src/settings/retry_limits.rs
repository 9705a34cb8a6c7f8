use bramleywind_macros::domain_type;

/// Limits on how often requests may be sent to another endpoint, over all gateways, in a window of ten seconds.
#[domain_type]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct RetryLimits {
    /// Number of retries for each hundred requests.
    pub percent: u32,
    /// Number of additional retries, shared by all gateways.
    pub extra: u32,
}

/// Fraction of the limits that is used. The rest is a margin, since each gateway counts its own requests in a window of
/// its own.
const USED_FRACTION: f64 = 0.75;

impl RetryLimits {
    /// Returns the number of retries allowed for each request of a gateway.
    pub fn per_request(self) -> f64 {
        f64::from(self.percent) / 100.0 * USED_FRACTION
    }

    /// Returns a gateway's part of the extra retries, in a fleet of `members` gateways.
    ///
    /// ```
    /// use bramleywind_gateway::settings::RetryLimits;
    ///
    /// let limits = RetryLimits { percent: 20, extra: 52 };
    /// assert_eq!(limits.extra_per_gateway(6), 6);
    /// assert_eq!(limits.extra_per_gateway(100), 0);
    /// ```
    pub fn extra_per_gateway(self, members: usize) -> usize {
        (f64::from(self.extra) * USED_FRACTION / members.max(1) as f64) as usize
    }
}
