use std::net::SocketAddr;

use bramleywind_claims::CrashReportId;
use bramleywind_macros::domain_type;
use bramleywind_types::{DataCentreId, EndpointId, ServiceId};

/// An endpoint's entry in the platform's registry.
#[domain_type]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// Start time in Unix milliseconds. A later start under the same name is a new process without the earlier one's
    /// requests and caches.
    pub started_at_ms: Option<u64>,
}

impl EndpointRecord {
    /// Returns the id of the crash of this start of the endpoint, which is the same at all gateways.
    pub fn crash_id(&self) -> CrashReportId {
        CrashReportId::of_start(&self.id, self.started_at_ms.unwrap_or_default())
    }
}
