use std::fmt;

use bramleywind_macros::domain_type;

/// A rate in tokens per second.
#[domain_type]
#[derive(Copy, Default, PartialOrd, Ord)]
pub struct TokenRate(pub u64);

impl fmt::Display for TokenRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
