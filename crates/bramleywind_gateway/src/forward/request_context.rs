use std::{rc::Rc, time::Instant};

use bramleywind_types::{ServiceId, WorkspaceId};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::{
    config::RouteConfig,
    platform_api::{EventId, PromptPrefix, PromptProfile},
};

/// A request that was read, routed and authorized.
#[derive(Debug)]
pub struct RequestContext {
    /// The caller's id of the attempt.
    pub request_id: Box<str>,
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Rc<RouteConfig>,
    /// The service that serves it.
    pub service: ServiceId,
    /// The workspace that it belongs to.
    pub workspace: Option<WorkspaceId>,
    /// The rank among an endpoint's requests.
    pub rank: u32,
    /// What it asks of a model.
    pub prompt: Option<PromptProfile>,
    /// The prefixes of its prompt, by which engines that hold them are found.
    pub prefixes: Vec<PromptPrefix>,
    /// The last event that the caller already has.
    pub resume_after: Option<EventId>,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// The most tokens in one event of the service's streams.
    pub tokens_per_event: u64,
    /// The most requests that this process may have at one endpoint.
    pub endpoint_limit: u32,
}
