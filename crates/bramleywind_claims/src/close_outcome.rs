/// Whether a change of a claim has reached the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseOutcome {
    /// The store holds the change.
    Stored,
    /// The store did not confirm the change in time. It is written as soon as the store answers; until then
    /// this process answers queries about the claim from memory.
    Pending,
}
