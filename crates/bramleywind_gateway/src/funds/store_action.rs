use crate::platform_api::BudgetChange;

/// The next call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// No call is due.
    Idle,
    /// Read current versions of all records, since a request can be neither served nor refused by the known ones.
    Read,
    /// Write these records.
    Write(Vec<BudgetChange>),
}
