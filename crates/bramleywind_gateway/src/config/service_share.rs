use bramleywind_macros::domain_type;
use bramleywind_types::ServiceId;

/// The part of a route's requests that a service gets.
#[domain_type]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the services of the route.
    pub weight: u32,
}
