use bramleywind_macros::domain_type;
use bramleywind_types::{TokenCount, WorkspaceId};

use super::WorkspaceKey;

/// A customer: its keys, and what it has prepaid.
#[domain_type]
pub struct WorkspaceAccount {
    /// Its name.
    pub id: WorkspaceId,
    /// The keys by which its callers are known.
    pub keys: Vec<WorkspaceKey>,
    /// Its rank, 0 is the most urgent; it goes before the rank of a route.
    pub rank: Option<u32>,
    /// All tokens that it may use; nothing if it has no limit.
    pub prepaid: Option<TokenCount>,
}
