use bramleywind_macros::domain_type;

use crate::options_shape::{UnknownChoice, string_enum};

/// How a router chooses among the endpoints that can run a request.
///
/// ```
/// use bramleywind_settings::EndpointPolicy;
///
/// assert_eq!("two_choices".parse(), Ok(EndpointPolicy::TwoChoices));
/// assert_eq!(EndpointPolicy::default().to_string(), "prefix_affinity");
/// ```
#[domain_type]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum EndpointPolicy {
    /// One after the other.
    RoundRobin,
    /// The one that reports the least load.
    LeastReportedLoad,
    /// The better of two random ones, by the router's own in-flight work.
    TwoChoices,
    /// The one that has probably cached the prompt's prefix, with bounded load.
    #[default]
    PrefixAffinity,
}

string_enum!(EndpointPolicy {
    RoundRobin => "round_robin",
    LeastReportedLoad => "least_reported_load",
    TwoChoices => "two_choices",
    PrefixAffinity => "prefix_affinity",
});
