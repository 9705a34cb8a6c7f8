//! The messages of loans and gifts. They belong together, so they stand in one file.

use bramleywind_macros::domain_type;
use bramleywind_types::{InstanceId, TokenCount, WorkspaceId};

/// A gateway asks another one for tokens of a budget.
#[domain_type]
pub struct LoanRequest {
    /// Who asks.
    pub borrower: InstanceId,
    /// Whose budget.
    pub workspace: WorkspaceId,
    /// How many tokens it wants.
    pub tokens: TokenCount,
}

/// The tokens that the borrower may spend from now on; zero if the lender has none to spare.
#[domain_type]
#[derive(Copy)]
pub struct LoanAnswer {
    /// How many.
    pub tokens: TokenCount,
}

/// Tokens that a stopping gateway gives to another one. The answer has no content.
#[domain_type]
pub struct TokenGift {
    /// Who gives.
    pub donor: InstanceId,
    /// How many tokens of which budgets.
    pub gifts: Vec<(WorkspaceId, TokenCount)>,
}
