//! The messages for loans between routers, which are made when a budget is nearly spent or its page has a
//! home.

use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, RequestKey, TokenCount};

/// The id of a loan, which is a reservation of the lender.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// The lender's incarnation.
    pub incarnation: IncarnationId,
    /// The reservation's entry in the lender's journal.
    pub reservation: JournalSequence,
}

impl fmt::Display for LoanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.incarnation, self.reservation)
    }
}

/// A request to a lender to reserve tokens for a request of the borrower.
#[domain_type]
pub struct LoanRequest {
    /// The budget that pays.
    pub budget: BudgetId,
    /// The number of tokens that the borrower needs. The lender may lend fewer.
    pub tokens: TokenCount,
    /// The process run of the borrower.
    pub borrower: IncarnationId,
    /// The number of the loan request, unique for the borrower, so that a repeated message makes no second
    /// loan.
    pub number: u64,
    /// The key of the request, if its caller gave one.
    pub key: Option<RequestKey>,
}

/// The outcome of a loan request.
#[domain_type]
pub enum LoanOutcome {
    /// The lender reserved tokens, possibly fewer than requested.
    Lent {
        /// The id of the loan.
        loan: LoanId,
        /// The reserved tokens.
        tokens: TokenCount,
    },
    /// The lender has no tokens to lend.
    Nothing,
    /// The lender did not answer, but may have reserved tokens.
    Unreachable,
}

/// A message that tells a lender what was billed to a loan.
#[domain_type]
pub struct LoanSettlement {
    /// The id of the loan.
    pub loan: LoanId,
    /// The billed tokens, at most those lent.
    pub billed: TokenCount,
}

/// The outcome of a loan settlement.
#[domain_type]
#[derive(Copy)]
pub enum SettlementOutcome {
    /// The lender settled the loan, now or earlier.
    Settled,
    /// The lender no longer has the loan: its slice was reclaimed, with the loan counted in full.
    Unknown,
    /// The lender did not answer.
    Unreachable,
}
