use std::time::Instant;

use bramleywind_types::{BodyHash, BudgetId, RequestId, RequestKey, WorkspaceId};

/// What every step of a request's path needs to know of it.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// The request's id.
    pub id: RequestId,
    /// Who calls.
    pub workspace: WorkspaceId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The idempotency key, if the caller gave one.
    pub key: Option<RequestKey>,
    /// The hash of method, path and body.
    pub hash: BodyHash,
    /// When the request had arrived in full.
    pub arrived: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
}
