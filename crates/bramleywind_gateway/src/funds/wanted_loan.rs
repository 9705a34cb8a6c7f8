use bramleywind_types::{TokenCount, WorkspaceId};

/// A loan to ask another process for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WantedLoan {
    pub(super) workspace: WorkspaceId,
    /// The tokens that the first waiting request lacks.
    pub(super) needed: TokenCount,
    /// The tokens wanted in all, for waiting requests and ahead of use.
    pub(super) wanted: TokenCount,
}
