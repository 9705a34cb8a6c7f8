use bramleywind_store::StoreVersion;
use bramleywind_types::WorkspaceId;

use crate::funds::BudgetRecord;

/// A conditional write of one budget record, which is applied only if the record has not changed since it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetChange {
    /// The workspace that the budget belongs to.
    pub workspace: WorkspaceId,
    /// The version that the record must still have.
    pub expected: StoreVersion,
    /// The new record.
    pub record: BudgetRecord,
}
