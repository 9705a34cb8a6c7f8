//! Budgets that no workspace can overspend, shared by routers that keep nothing themselves.
//!
//! A router spends from slices that were granted durably, and journals each reservation at witnesses
//! before the request is sent, so that a slice whose holder died can be reclaimed exactly.

mod funds_keeper;
mod journal;
mod journal_link;
mod keeper_clock;
mod keeper_dump;
mod keeper_outcomes;
mod keeper_settings;
mod loan;
mod peer_record;
mod reservation;
mod witness_id;

pub use funds_keeper::FundsKeeper;
pub use journal::{JournalBatch, JournalEntry, JournalSnapshot, JournalledBudget, OpenReservation};
pub use journal_link::{AppendOutcome, JournalLink, SealOutcome};
pub use keeper_clock::KeeperClock;
pub use keeper_dump::KeeperDump;
pub use keeper_outcomes::{
    BudgetBalance, HandBackOutcome, ReclaimObstacle, ReclaimOutcome, RegisterOutcome,
    ReserveOutcome, ResolveOutcome, UnavailableCause,
};
pub use keeper_settings::KeeperSettings;
pub use loan::{LoanId, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome};
pub use peer_record::PeerRecord;
pub use reservation::{LoanShare, OwnShare, Reservation};
pub use witness_id::WitnessId;
