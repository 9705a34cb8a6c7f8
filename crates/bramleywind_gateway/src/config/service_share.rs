use bramleywind_macros::domain_type;
use bramleywind_types::ServiceId;

/// The share of a route's requests that a service receives.
#[domain_type]
pub struct ServiceShare {
    /// The service's name.
    pub service: ServiceId,
    /// The service's weight among the services of the route.
    pub weight: u32,
}
