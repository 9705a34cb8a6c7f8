//! Loans between routers at the tail of a budget. The messages are only used together.

use std::fmt;

use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, RequestKey, TokenCount};

/// Names a loan: a reservation of the lender's.
#[domain_type]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// The lender's incarnation.
    pub incarnation: IncarnationId,
    /// The lender's reservation.
    pub reservation: JournalSequence,
}

impl fmt::Display for LoanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.incarnation, self.reservation)
    }
}

/// Asks a lender to reserve tokens for a request of the borrower's.
#[domain_type]
pub struct LoanRequest {
    /// The budget that pays.
    pub budget: BudgetId,
    /// The most that the borrower can use.
    pub tokens: TokenCount,
    /// The incarnation of the borrower.
    pub borrower: IncarnationId,
    /// Identifies the request among the borrower's, so that a repeated message makes no second loan.
    pub number: u64,
    /// The key of the request, if its caller gave one.
    pub key: Option<RequestKey>,
}

/// What a loan request came to.
#[domain_type]
pub enum LoanOutcome {
    /// The lender reserved this much, which may be less than asked.
    Lent {
        /// The loan.
        loan: LoanId,
        /// What it covers.
        tokens: TokenCount,
    },
    /// The lender has nothing to lend.
    Nothing,
    /// The lender did not answer; it may have reserved.
    Unreachable,
}

/// Tells a lender what was billed to a loan.
#[domain_type]
pub struct LoanSettlement {
    /// The loan.
    pub loan: LoanId,
    /// What was billed; at most what was lent.
    pub billed: TokenCount,
}

/// What a loan settlement came to.
#[domain_type]
#[derive(Copy)]
pub enum SettlementOutcome {
    /// The lender settled the loan, now or before.
    Settled,
    /// The lender does not know the loan any more: its slice was reclaimed, with the loan counted in full.
    Unknown,
    /// The lender did not answer.
    Unreachable,
}
