/// The result of waiting until the changes of claims are stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseOutcome {
    /// The changes are stored.
    Stored,
    /// The store did not confirm the changes in time. They are written as soon as the store answers; until then this
    /// process answers queries about the claims from memory.
    Pending,
}
