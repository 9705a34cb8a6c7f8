use std::{fmt, num::ParseIntError, str::FromStr};

use bramleywind_macros::domain_type;

/// An amount of memory in bytes.
///
/// ```
/// use bramleywind_gateway::admission::MemorySize;
///
/// let size: MemorySize = "110000000".parse().unwrap();
/// assert_eq!(size, MemorySize::from_megabytes(110.0));
/// ```
#[domain_type]
#[derive(Copy, PartialOrd, Ord)]
pub struct MemorySize(pub u64);

impl MemorySize {
    /// Converts a number of megabytes, which may be a fraction.
    pub fn from_megabytes(megabytes: f64) -> Self {
        Self((megabytes * 1_000_000.0).round() as u64)
    }
}

impl fmt::Display for MemorySize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for MemorySize {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
