use std::time::{Duration, Instant};

use super::{EventId, PromptProfile};
use crate::config::WorkspaceKey;

/// What the head of a caller's request says.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The caller's id of this attempt. A retry has another one.
    pub request_id: Option<Box<str>>,
    /// The host that the caller named, in lower case and without a port.
    pub host: Box<str>,
    /// When the caller stops waiting.
    pub deadline: Option<Instant>,
    /// The secret that the caller presented.
    pub key: Option<WorkspaceKey>,
    /// What it asks of a model, if it says so.
    pub prompt: Option<PromptProfile>,
    /// The last event that the caller already has.
    pub resume_after: Option<EventId>,
}

impl RequestHead {
    /// When the caller must have its answer, at a route that allows `timeout`.
    pub fn deadline_within(&self, arrival: Instant, timeout: Duration) -> Instant {
        let allowed = arrival + timeout;
        self.deadline.map_or(allowed, |deadline| deadline.min(allowed))
    }
}
