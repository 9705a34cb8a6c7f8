//! Endpoints from the platform's registry, with this process's observations of each: load, latency, health and idle
//! connections.

mod connection_pool;
mod endpoint;
mod endpoint_health;
mod endpoint_record;
mod endpoint_set;
mod in_flight_guard;
mod prefix_tracker;

pub use connection_pool::{ConnectionPool, PooledConnection};
pub use endpoint::Endpoint;
pub use endpoint_health::EndpointHealth;
pub use endpoint_record::EndpointRecord;
pub use endpoint_set::{EndpointSet, EntryEffect};
pub use in_flight_guard::{InFlightGuard, REQUEST_OVERHEAD_KILOTOKENS};
pub use prefix_tracker::PrefixTracker;
