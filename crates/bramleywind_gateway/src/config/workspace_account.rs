use bramleywind_macros::domain_type;
use bramleywind_types::{TokenCount, WorkspaceId};

use super::WorkspaceKey;

/// A workspace with its keys and prepaid budget.
#[domain_type]
pub struct WorkspaceAccount {
    /// The workspace's name.
    pub id: WorkspaceId,
    /// The keys that identify the workspace's callers.
    pub keys: Vec<WorkspaceKey>,
    /// The rank of its requests; 0 is the most urgent. It takes precedence over the rank of the route.
    pub rank: Option<u32>,
    /// Total number of prepaid tokens, or `None` for an unlimited workspace.
    pub prepaid: Option<TokenCount>,
}
