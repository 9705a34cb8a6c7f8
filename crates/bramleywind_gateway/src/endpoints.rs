//! The endpoints of the platform's registry, and what this process has seen of each.

mod connection_pool;
mod endpoint;
mod endpoint_set;
mod endpoint_health;
mod endpoint_record;
mod prefix_tracker;
mod in_flight_guard;

pub use connection_pool::{ConnectionPool, PooledConnection};
pub use endpoint::Endpoint;
pub use endpoint_set::{EndpointSet, EntryEffect};
pub use endpoint_health::EndpointHealth;
pub use endpoint_record::EndpointRecord;
pub use prefix_tracker::PrefixTracker;
pub use in_flight_guard::{REQUEST_OVERHEAD_KILOTOKENS, InFlightGuard};
