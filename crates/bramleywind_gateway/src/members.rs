//! The gateways that are alive according to the store's leases, and the clocks that they compare.

mod boot_time;
mod clocks;
mod fleet_clock;
mod issuer_candidate;
mod issuer_order;
mod issuer_tracker;
mod lender_order;
mod member_record;
mod member_registry;
mod permit_issuers;
mod presence_record;
mod processor_capacity;
mod registry_readers;
mod serving_set;
mod share_count;

pub use boot_time::BootTime;
pub use clocks::{boot_millis, unix_millis};
pub use fleet_clock::FleetClock;
pub use lender_order::lender_order;
pub use member_record::{EarlierMemberRecord, MemberRecord};
pub use member_registry::MemberRegistry;
pub use permit_issuers::PermitIssuers;
pub use presence_record::{EarlierPresenceRecord, PresenceRecord};
pub use processor_capacity::ProcessorCapacity;
pub use registry_readers::RegistryReaders;
