//! The endpoints of the platform's registry, and what this process has seen of each.

mod connection_pool;
mod endpoint;
mod endpoint_book;
mod endpoint_health;
mod endpoint_record;
mod prefix_memory;
mod work_guard;

pub use connection_pool::{ConnectionPool, PooledConnection};
pub use endpoint::Endpoint;
pub use endpoint_book::{EndpointBook, EntryEffect};
pub use endpoint_health::EndpointHealth;
pub use endpoint_record::EndpointRecord;
pub use prefix_memory::PrefixMemory;
pub use work_guard::{FIXED_KILOTOKENS, WorkGuard};
