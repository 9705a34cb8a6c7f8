//! Endpoints that limit the rate of requests that they take from all gateways together.

mod rate_limit;
mod rate_statement;
mod request_rate;

pub use rate_limit::{RateChange, RateLimit};
pub use rate_statement::RateStatement;
pub use request_rate::{ParseRateError, RequestRate};
