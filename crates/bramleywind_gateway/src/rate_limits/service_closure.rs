use std::time::Duration;

/// When a service takes requests again of which no endpoint takes any now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceClosure {
    /// The delay after which the caller of a refused request should return.
    pub return_delay: Duration,
    /// Whether that is because endpoints limit their requests.
    pub is_limited: bool,
}
