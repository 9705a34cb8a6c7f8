use std::time::{Duration, Instant};

use super::{EventId, PromptProfile};
use crate::config::WorkspaceKey;

/// The contents of the head of a caller's request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The caller's id of this attempt. A retry has a different one.
    pub request_id: Option<Box<str>>,
    /// The requested host, in lower case and without a port.
    pub host: Box<str>,
    /// When the caller stops waiting.
    pub deadline: Option<Instant>,
    /// The secret that the caller presented.
    pub key: Option<WorkspaceKey>,
    /// The prompt's properties, if the caller states them.
    pub prompt: Option<PromptProfile>,
    /// The last event that the caller has received.
    pub resume_after: Option<EventId>,
}

impl RequestHead {
    /// Returns the deadline of the answer: the caller's own one, or that of a route that allows `timeout`, whichever is
    /// earlier.
    pub fn deadline_within(&self, arrival: Instant, timeout: Duration) -> Instant {
        let allowed = arrival + timeout;
        self.deadline.map_or(allowed, |deadline| deadline.min(allowed))
    }
}
