use super::RequestRate;

/// What an answer of an endpoint says about the rate of requests that it takes from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateStatement {
    /// The answer names no rate: the endpoint takes any.
    Unlimited,
    /// The endpoint takes this rate.
    Limited(RequestRate),
    /// The answer names a rate that cannot be read, so it says nothing.
    Unreadable,
}
