use std::net::SocketAddr;

use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, EndpointId, ServiceId};

/// What an endpoint says of itself in the registry.
#[domain_type]
pub struct EndpointRecord {
    /// Its name.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// Unix millisecond of its start. A later start under the same name knows nothing of before.
    pub started_at_ms: Option<u64>,
}
