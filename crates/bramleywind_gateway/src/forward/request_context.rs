use std::{rc::Rc, time::Instant};

use bramleywind_types::{ServiceId, WorkspaceId};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::{
    config::RouteConfig,
    crashes::{CallFingerprint, SharedPart},
    platform_api::{EventId, PromptPrefix, PromptProfile},
};

/// Holds a request that has been read, routed and authorized.
#[derive(Debug)]
pub struct RequestContext {
    /// The caller's id for this attempt.
    pub request_id: Box<str>,
    /// The HTTP method.
    pub method: Method,
    /// The path and query as sent by the caller.
    pub target: Uri,
    /// Identifies copies of the request at any gateway.
    pub fingerprint: CallFingerprint,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The route that matched the request.
    pub route: Rc<RouteConfig>,
    /// The service that the request is sent to.
    pub service: ServiceId,
    /// The workspace of the request's key, if it has one.
    pub workspace: Option<WorkspaceId>,
    /// The rank among the requests at an endpoint; 0 is the most urgent.
    pub rank: u32,
    /// The prompt and output limit of a request to a model.
    pub prompt: Option<PromptProfile>,
    /// The parts that the prompt shares with other requests to the service, in order.
    pub shared_parts: Box<[SharedPart]>,
    /// The prefixes of the prompt, shortest first, by which engines that have them cached are found.
    pub prefixes: Vec<PromptPrefix>,
    /// The id of the last event that the caller has already received.
    pub resume_after: Option<EventId>,
    /// The time by which the caller must have its response.
    pub deadline: Instant,
    /// Maximum number of tokens in one event of the service's streams.
    pub tokens_per_event: u64,
    /// Maximum number of requests that this process may have in flight at one endpoint.
    pub endpoint_limit: u32,
}
