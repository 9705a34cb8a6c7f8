//! The messages of loans and gifts.

use bramleywind_macros::domain_type;
use bramleywind_types::{InstanceId, TokenCount, WorkspaceId};

/// A request of one gateway to another for tokens of a budget.
#[domain_type]
pub struct LoanRequest {
    /// The instance that asks for tokens.
    pub borrower: InstanceId,
    /// The workspace whose budget the tokens belong to.
    pub workspace: WorkspaceId,
    /// The number of requested tokens.
    pub tokens: TokenCount,
}

/// The answer to a [`LoanRequest`].
#[domain_type]
#[derive(Copy)]
pub struct LoanAnswer {
    /// The tokens that the borrower may spend from now on; zero if the lender has none to spare.
    pub tokens: TokenCount,
}

/// Tokens that a stopping gateway gives to another one. The answer has an empty body.
#[domain_type]
pub struct TokenGift {
    /// The instance that gives the tokens.
    pub donor: InstanceId,
    /// The number of tokens for each workspace.
    pub gifts: Vec<(WorkspaceId, TokenCount)>,
}
