//! Budgets that no workspace can overspend, shared by routers that keep nothing themselves.
//!
//! A router spends from slices that were granted durably, and journals each reservation at witnesses
//! before the request is sent, so that a slice whose holder died can be reclaimed exactly.

mod journal;
mod journal_link;
mod loan;
mod witness_id;

pub use journal::{JournalBatch, JournalEntry, JournalSnapshot, JournalledBudget, OpenReservation};
pub use journal_link::{AppendOutcome, JournalLink, SealOutcome};
pub use loan::{LoanId, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome};
pub use witness_id::WitnessId;
