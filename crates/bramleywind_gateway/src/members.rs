//! Which gateways are alive, as the store's leases tell.

mod clocks;
mod fleet_clock;
mod member_registry;
mod member_record;
mod presence_record;

pub use clocks::{boot_millis, unix_millis};
pub use fleet_clock::FleetClock;
pub use member_registry::MemberRegistry;
pub use member_record::MemberRecord;
pub use presence_record::PresenceRecord;
