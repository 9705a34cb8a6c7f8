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
    /// The least number of tokens that is of use to the borrower.
    pub needed: TokenCount,
    /// The tokens of the budget that the borrower holds and that its open requests may leave unused.
    pub uncharged: TokenCount,
}

/// The answer to a [`LoanRequest`].
#[domain_type]
#[derive(Copy)]
pub struct LoanAnswer {
    /// The tokens that the borrower may spend from now on; zero if the lender has none to spare.
    pub tokens: TokenCount,
    /// Whether the budget does not cover the needed tokens, according to a current record.
    pub is_exhausted: bool,
}

/// A [`LoanRequest`] of a build that does not state the uncharged tokens.
#[domain_type]
pub(super) struct EarlierLoanRequest {
    borrower: InstanceId,
    workspace: WorkspaceId,
    tokens: TokenCount,
    needed: TokenCount,
}

impl From<EarlierLoanRequest> for LoanRequest {
    fn from(earlier: EarlierLoanRequest) -> Self {
        let EarlierLoanRequest { borrower, workspace, tokens, needed } = earlier;
        Self { borrower, workspace, tokens, needed, uncharged: TokenCount(0) }
    }
}

/// A [`LoanAnswer`] of a build that does not tell whether the budget is exhausted.
#[domain_type]
pub(super) struct EarlierLoanAnswer {
    tokens: TokenCount,
}

impl From<EarlierLoanAnswer> for LoanAnswer {
    fn from(earlier: EarlierLoanAnswer) -> Self {
        Self { tokens: earlier.tokens, is_exhausted: false }
    }
}

/// Tokens that a stopping gateway gives to another one. The answer has an empty body.
#[domain_type]
pub struct TokenGift {
    /// The instance that gives the tokens.
    pub donor: InstanceId,
    /// The number of tokens for each workspace.
    pub gifts: Vec<(WorkspaceId, TokenCount)>,
}
