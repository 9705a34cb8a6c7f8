use std::time::Instant;

use bramleywind_types::{BodyHash, BudgetId, RequestId, RequestKey, WorkspaceId};

/// The properties of a request that every step of its processing uses.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// The request's id.
    pub id: RequestId,
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// The budget that pays for the request.
    pub budget: BudgetId,
    /// The idempotency key, if the caller sent one.
    pub key: Option<RequestKey>,
    /// The hash of the method, path and body.
    pub hash: BodyHash,
    /// The time at which the request had been received in full.
    pub arrived: Instant,
    /// The time by which the request must have its final answer.
    pub deadline: Instant,
}
