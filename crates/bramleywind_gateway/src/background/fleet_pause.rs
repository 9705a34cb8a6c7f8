use std::time::Duration;

/// A pause that grows with the fleet: what each process calls of the store, all of them do.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScaledInterval {
    /// The pause in a fleet of up to `small_fleet` gateways.
    pub shortest: Duration,
    /// Gateways up to which the pause does not grow.
    pub small_fleet: usize,
    /// The pause is never longer.
    pub longest: Duration,
}

impl ScaledInterval {
    /// The pause in a fleet of `members` gateways.
    pub(crate) fn at(self, members: usize) -> Duration {
        let growth = members as f64 / self.small_fleet as f64;
        self.shortest.mul_f64(growth.max(1.0)).min(self.longest)
    }
}
