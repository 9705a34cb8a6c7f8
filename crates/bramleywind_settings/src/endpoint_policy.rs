use bramleywind_macros::domain_type;

use crate::options_shape::{UnknownChoice, string_enum};

/// The policy by which a router chooses among the endpoints that can run a request.
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
    /// Uses the endpoints in turn.
    RoundRobin,
    /// Uses the endpoint that reports the least load.
    LeastReportedLoad,
    /// Picks two endpoints at random and uses the one with less work in flight from this router.
    TwoChoices,
    /// Prefers the endpoint that has probably cached the prefix of the prompt, with bounded load.
    #[default]
    PrefixAffinity,
}

string_enum!(EndpointPolicy {
    RoundRobin => "round_robin",
    LeastReportedLoad => "least_reported_load",
    TwoChoices => "two_choices",
    PrefixAffinity => "prefix_affinity",
});
