use std::time::Duration;

/// An interval that grows with the fleet, to bound the rate at which all processes together call the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScaledInterval {
    /// The interval in a fleet of up to `base_members` gateways.
    pub min: Duration,
    /// The number of gateways up to which the interval does not grow.
    pub base_members: usize,
    /// The maximum interval.
    pub max: Duration,
}

impl ScaledInterval {
    /// Returns the interval in a fleet of `members` gateways.
    pub(crate) fn for_members(self, members: usize) -> Duration {
        let factor = members as f64 / self.base_members as f64;
        self.min.mul_f64(factor.max(1.0)).min(self.max)
    }
}
