use std::{fmt, num::ParseIntError, str::FromStr};

use bramleywind_macros::domain_type;

/// The processor capacity of an instance, in thousandths of a core.
///
/// ```
/// use bramleywind_gateway::members::ProcessorCapacity;
///
/// let capacity: ProcessorCapacity = "250".parse().unwrap();
/// assert_eq!(capacity, ProcessorCapacity::from_cores(0.25));
/// ```
#[domain_type]
#[derive(Copy, PartialOrd, Ord)]
pub struct ProcessorCapacity(pub u32);

impl ProcessorCapacity {
    /// Converts a number of cores, which may be a fraction. The result is at least a thousandth of a core.
    pub fn from_cores(cores: f64) -> Self {
        Self(((cores * 1_000.0).round() as u32).max(1))
    }
}

impl Default for ProcessorCapacity {
    /// The capacity of an instance that does not state it: one core.
    fn default() -> Self {
        Self(1_000)
    }
}

impl fmt::Display for ProcessorCapacity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ProcessorCapacity {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
