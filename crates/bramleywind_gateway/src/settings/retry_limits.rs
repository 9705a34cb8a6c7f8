use bramleywind_macros::domain_type;

/// How often requests may be sent to a second endpoint, over all gateways, in a window of ten seconds.
#[domain_type]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct RetryLimits {
    /// Retries in a hundred requests.
    pub percent: u32,
    /// Retries that are allowed besides, shared by all gateways.
    pub extra: u32,
}

/// The part of the limits that is used: the gateways count apart, and their windows differ.
const USED_PART: f64 = 0.75;

impl RetryLimits {
    /// Retries for each request of a gateway.
    pub fn per_request(self) -> f64 {
        f64::from(self.percent) / 100.0 * USED_PART
    }

    /// A gateway's part of the extra retries, in a fleet of `members`.
    ///
    /// ```
    /// use bramleywind_gateway::settings::RetryLimits;
    ///
    /// let limits = RetryLimits { percent: 20, extra: 52 };
    /// assert_eq!(limits.extra_per_gateway(6), 6);
    /// assert_eq!(limits.extra_per_gateway(100), 0);
    /// ```
    pub fn extra_per_gateway(self, members: usize) -> usize {
        (f64::from(self.extra) * USED_PART / members.max(1) as f64) as usize
    }
}
