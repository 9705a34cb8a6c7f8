use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, IncarnationId, InstanceId, JournalSequence, TokenCount};

use crate::LoanId;

/// Tokens reserved for one request. It must be settled exactly once, so it can't be cloned.
///
/// The tokens of a reservation that is dropped without being settled count as spent until its router
/// stops.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not settled stays counted as spent"]
pub struct Reservation {
    pub(crate) budget: BudgetId,
    pub(crate) own: Option<OwnShare>,
    pub(crate) loans: Vec<LoanShare>,
}

/// The part of a reservation that the router's own slice pays for.
#[domain_type]
#[derive(Copy)]
pub struct OwnShare {
    /// The incarnation whose journal contains the reservation.
    pub incarnation: IncarnationId,
    /// The reservation's entry in the journal.
    pub sequence: JournalSequence,
    /// The reserved tokens.
    pub tokens: TokenCount,
}

/// The part of a reservation that another router lends.
#[domain_type]
pub struct LoanShare {
    /// The instance of the lender.
    pub lender: InstanceId,
    /// The id of the loan.
    pub loan: LoanId,
    /// The lent tokens.
    pub tokens: TokenCount,
}

impl Reservation {
    /// Returns the budget that pays for the request.
    pub fn budget(&self) -> &BudgetId {
        &self.budget
    }

    /// Returns the highest number of tokens that may be billed.
    pub fn tokens(&self) -> TokenCount {
        let own = self.own.map_or(TokenCount(0), |share| share.tokens);
        own.saturating_add(self.loans.iter().map(|share| share.tokens).sum())
    }
}
