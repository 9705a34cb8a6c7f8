use std::net::SocketAddr;

use bramleywind_macros::domain_type;

use crate::{DataCentreId, InstanceId, UnixDeadline};

/// The response to a caller that asks which entry instances to use.
#[domain_type]
pub struct EntryList {
    /// The entries that accept new work. An entry that is leaving is not among them.
    pub entries: Vec<EntryAddress>,
    /// The time until which the caller may use the list, in milliseconds since the Unix epoch.
    pub valid_until_ms: UnixDeadline,
}

/// One entry instance of an [`EntryList`].
#[domain_type]
pub struct EntryAddress {
    /// The instance.
    pub instance: InstanceId,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The address on which it accepts requests of callers.
    pub address: SocketAddr,
    /// Its share of the traffic, relative to the other entries.
    pub weight: u32,
}
