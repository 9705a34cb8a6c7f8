use std::{fmt, str::FromStr};

use bramleywind_macros::domain_type;
use snafu::Snafu;

/// The largest rate that is distinguished from none, in requests per second.
const MAX_PER_SECOND: f64 = 1e9;

/// A rate of requests, in thousandths of a request per second.
///
/// ```
/// use bramleywind_gateway::rate_limits::RequestRate;
///
/// let rate: RequestRate = "2.6".parse().unwrap();
/// assert_eq!(rate, RequestRate(2_600));
/// assert_eq!(rate.to_string(), "2.6");
/// assert!("2,6".parse::<RequestRate>().is_err());
/// ```
#[domain_type]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second().fmt(formatter)
    }
}

/// The reason why a text is not a rate of requests.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("\"{text}\" is not a rate; give a finite decimal number of at least 0"))]
pub struct ParseRateError {
    text: Box<str>,
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rate = text.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
        let rate = rate.ok_or_else(|| ParseRateError { text: text.into() })?;
        Ok(Self((rate.min(MAX_PER_SECOND) * 1_000.0).round() as u64))
    }
}
