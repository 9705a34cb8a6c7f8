use std::{fmt, num::ParseIntError, str::FromStr};

use bramleywind_macros::domain_type;

/// The rate of an instance's link in each direction, in kilobits per second.
///
/// ```
/// use bramleywind_gateway::admission::LinkRate;
///
/// let rate: LinkRate = "10000".parse().unwrap();
/// assert_eq!(rate, LinkRate::from_megabits(10.0));
/// assert_eq!(rate.bytes_per_second(), 1_250_000.0);
/// ```
#[domain_type]
#[derive(Copy, PartialOrd, Ord)]
pub struct LinkRate(pub u64);

impl LinkRate {
    /// Converts a rate in megabits per second, which may be a fraction. The result is at least one kilobit per second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(((megabits * 1_000.0).round() as u64).max(1))
    }

    /// Returns the rate in bytes per second.
    pub fn bytes_per_second(self) -> f64 {
        self.0 as f64 * 125.0
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for LinkRate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
