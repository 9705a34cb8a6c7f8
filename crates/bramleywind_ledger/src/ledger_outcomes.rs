//! The outcomes of the calls of a ledger, in one file because they are small and used together.

use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

use crate::Reservation;

/// The outcome of a request for tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved and the witnesses have acknowledged it, so the request may be sent.
    Reserved(Reservation),
    /// The budget does not have the tokens.
    Exhausted,
    /// It is not known whether the budget has the tokens, or they can't be reached at present.
    Unavailable(UnavailableCause),
}

/// The reason why a reservation could neither be made nor refused for good.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum UnavailableCause {
    /// The slice and the loans did not suffice, and the store did not answer.
    StoreUnavailable,
    /// The witnesses did not acknowledge the reservation in time.
    WitnessesUnreachable,
    /// The pool is empty, and a holder of unspent tokens did not answer.
    HoldersUnreachable,
    /// Neither the configuration nor the store has the budget.
    UnknownBudget,
    /// The deadline passed before a grant was decided or all lenders were asked.
    DeadlinePassed,
    /// This router is stopping and returns its slices.
    Stopping,
}

/// The outcome of a registration.
#[domain_type]
#[derive(Copy)]
pub enum RegisterOutcome {
    /// The member record names this incarnation, with this many witnesses.
    Registered {
        /// The number of witnesses, from zero to two.
        witnesses: usize,
    },
    /// The store or the chosen witnesses did not answer; maintenance retries.
    Pending,
}

/// The outcome of a reclaim.
#[domain_type]
#[derive(Copy)]
pub enum ReclaimOutcome {
    /// The incarnation is sealed and its slices are closed.
    Closed,
    /// The reclaim met an obstacle. The slices count as spent, and maintenance retries.
    Pending(ReclaimObstacle),
}

/// The reason why a reclaim is not complete.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum ReclaimObstacle {
    /// The store did not answer, or its answer was lost.
    StoreUnavailable,
    /// A witness did not answer.
    WitnessUnreachable,
    /// A witness lost its journals, so the slices still count as spent (rule R4).
    WitnessLost,
    /// The holder never had a witness, so it can't be stopped (rule R2).
    NoWitnesses,
    /// The member record does not name the incarnation.
    UnknownIncarnation,
}

/// The outcome of returning all slices.
#[domain_type]
#[derive(Copy)]
pub enum HandBackOutcome {
    /// This router holds no slices and has no unfinished settlements, loan messages or page writes.
    Done,
    /// The deadline passed. The remaining tokens stay with the slices until these are reclaimed.
    Incomplete {
        /// The tokens that are still granted and not spent.
        tokens: TokenCount,
    },
}

/// The outcome of resolving the earlier attempts of a repeated request.
#[domain_type]
#[derive(Copy)]
pub enum ResolveOutcome {
    /// The tokens counted for earlier attempts that returned to the pool, possibly zero.
    Refunded(TokenCount),
    /// The store did not answer; maintenance retries.
    Pending,
}

/// The balance of a budget as this router sees it.
#[domain_type]
pub struct BudgetBalance {
    /// The base credit and all top-ups.
    pub credit: TokenCount,
    /// The tokens that the page counts as spent under closed slices.
    pub settled: TokenCount,
    /// The tokens that no slice holds.
    pub pool: TokenCount,
    /// The tokens that all slices hold, spent or not.
    pub granted: TokenCount,
    /// The tokens that this router's slice can still reserve.
    pub slice_available: TokenCount,
    /// The tokens that this router has reserved and not settled.
    pub slice_open: TokenCount,
}
