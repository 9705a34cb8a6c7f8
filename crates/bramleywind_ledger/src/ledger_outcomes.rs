//! What the calls of a keeper come to. They are small and used together, so they stand in one file.

use bramleywind_macros::domain_type;
use bramleywind_types::TokenCount;

use crate::Reservation;

/// What a request for tokens came to.
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are set aside, and a witness knows of it: the request may be sent.
    Reserved(Reservation),
    /// The budget does not have the tokens.
    Exhausted,
    /// Whether the budget has the tokens could not be found out, or they can't be reached now.
    Unavailable(UnavailableCause),
}

/// Why a reservation could neither be made nor refused for good.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum UnavailableCause {
    /// The slice and the loans did not suffice, and the store did not answer.
    StoreUnavailable,
    /// No witness acknowledged the reservation in time.
    WitnessesUnreachable,
    /// The pool is empty, and a holder of unspent tokens did not answer.
    HoldersUnreachable,
    /// The budget is not known to the configuration or the store.
    UnknownBudget,
    /// The deadline passed while the request waited for other work.
    DeadlinePassed,
    /// This router has handed its slices back.
    Stopping,
}

/// What a registration came to.
#[domain_type]
#[derive(Copy)]
pub enum RegisterOutcome {
    /// The member record names this incarnation, with this many witnesses.
    Registered {
        /// From zero to two.
        witnesses: usize,
    },
    /// The store or the chosen witnesses did not answer; maintenance goes on trying.
    Pending,
}

/// What a reclaim came to.
#[domain_type]
#[derive(Copy)]
pub enum ReclaimOutcome {
    /// The incarnation is sealed and its slices are closed.
    Closed,
    /// Something did not answer. The slices count as spent, and maintenance goes on trying.
    Pending(ReclaimObstacle),
}

/// What keeps a reclaim from ending.
#[domain_type]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum ReclaimObstacle {
    /// The store did not answer or lost the answer.
    StoreUnavailable,
    /// A witness did not answer.
    WitnessUnreachable,
    /// A witness lost its journals, so the slices stay counted as spent (rule R4).
    WitnessLost,
    /// The holder never had a witness, so nothing can stop it (rule R2).
    NoWitnesses,
    /// The member record does not know the incarnation.
    UnknownIncarnation,
}

/// What handing all slices back came to.
#[domain_type]
#[derive(Copy)]
pub enum HandBackOutcome {
    /// Nothing is left in the name of this router.
    Done,
    /// The deadline passed; the rest stays with the slices until they are reclaimed.
    Incomplete {
        /// What is still granted and not spent.
        tokens: TokenCount,
    },
}

/// What resolving the earlier attempts of a repeated request came to.
#[domain_type]
#[derive(Copy)]
pub enum ResolveOutcome {
    /// This much, which had been counted for earlier attempts, went back to the pool; it may be zero.
    Refunded(TokenCount),
    /// The store did not answer; maintenance goes on trying.
    Pending,
}

/// A budget as this router sees it.
#[domain_type]
pub struct BudgetBalance {
    /// Base and top-ups.
    pub credit: TokenCount,
    /// What the page counts as spent under closed slices.
    pub settled: TokenCount,
    /// What no slice holds.
    pub pool: TokenCount,
    /// What all slices hold, spent or not.
    pub granted: TokenCount,
    /// What this router's slice may still reserve.
    pub slice_available: TokenCount,
    /// What this router has reserved and not settled.
    pub slice_open: TokenCount,
}
