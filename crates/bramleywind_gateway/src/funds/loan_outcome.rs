/// How a request for a loan ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoanOutcome {
    /// A lender answered.
    Answered,
    /// A lender answered that the budget does not cover what is needed.
    Exhausted,
    /// No lender answered.
    NoAnswer,
}
