use std::time::Instant;

use bramleywind_types::{EndpointId, WorkspaceId};

use super::EventId;

/// The values that the gateway adds to the head of a request to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct CallHead<'a> {
    /// The endpoint that must answer. A different endpoint at the same address refuses the request.
    pub endpoint: &'a EndpointId,
    /// The workspace that the request belongs to.
    pub workspace: Option<&'a WorkspaceId>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The last event that the caller has received.
    pub resume_after: Option<EventId>,
    /// The rank among the endpoint's requests; 0 is the most urgent.
    pub rank: Option<u32>,
}
