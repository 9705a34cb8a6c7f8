use std::net::SocketAddr;

use bramleywind_macros::domain_type;

use crate::{DataCentreId, InstanceId, UnixDeadline};

/// The answer to a caller that asks which entry instances to use.
#[domain_type]
pub struct EntryList {
    /// The entries that accept new work; never a leaving one.
    pub entries: Vec<EntryAddress>,
    /// Until when the caller may use the list, in milliseconds since the Unix epoch.
    pub valid_until_ms: UnixDeadline,
}

/// One entry instance of an [`EntryList`].
#[domain_type]
pub struct EntryAddress {
    /// The instance.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where it accepts callers.
    pub address: SocketAddr,
    /// Its share of the traffic, relative to the other entries.
    pub weight: u32,
}
