use crate::platform_api::BudgetChange;

/// What the next call of the store should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// Nothing.
    Idle,
    /// Read all records as of now: a request can't be served, or refused, from what is known.
    Read,
    /// Write these records.
    Write(Vec<BudgetChange>),
}
