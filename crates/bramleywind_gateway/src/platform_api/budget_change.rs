use bramleywind_store::StoreVersion;
use bramleywind_types::WorkspaceId;

use crate::funds::BudgetRecord;

/// A write of one budget record, under the condition that it has not changed since it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetChange {
    /// Whose budget it is.
    pub workspace: WorkspaceId,
    /// The version that it must still have.
    pub expected: StoreVersion,
    /// The new record.
    pub record: BudgetRecord,
}
