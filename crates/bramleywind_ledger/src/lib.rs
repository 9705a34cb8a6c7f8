//! A ledger of prepaid token budgets that are shared by stateless routers and can't be overspent.
//!
//! A router spends from slices of a budget that the store has granted durably. It replicates each reservation
//! to witnesses before the request is sent, so the slice of a router that died can be reclaimed exactly.

mod base_credit;
mod budget_page;
mod budget_record;
mod funds_keeper;
mod holder_journal;
mod holder_slice;
mod journal;
mod journal_link;
mod keeper_clock;
mod keeper_dump;
mod keeper_outcomes;
mod keeper_settings;
mod loan;
mod loan_desk;
mod member_record;
mod peer_record;
mod reservation;
mod retry_delay;
mod seal_report;
mod signal;
mod slice_record;
mod unresolved_reservation;
mod usage_window;
mod witness_id;
mod witness_store;
mod witness_tracker;

pub use base_credit::BaseCredit;
pub use budget_page::BudgetPage;
pub use budget_record::{BudgetError, BudgetRecord, MAX_UNRESOLVED_RESERVATIONS};
pub use funds_keeper::FundsKeeper;
pub use journal::{JournalBatch, JournalEntry, JournalSnapshot, JournalledBudget, OpenReservation};
pub use journal_link::{AppendOutcome, JournalLink, SealOutcome};
pub use keeper_clock::KeeperClock;
pub use keeper_dump::KeeperDump;
pub use keeper_outcomes::{
    BudgetBalance, HandBackOutcome, ReclaimObstacle, ReclaimOutcome, RegisterOutcome,
    ReserveOutcome, ResolveOutcome, UnavailableCause,
};
pub use keeper_settings::{GrantPolicy, KeeperSettings};
pub use loan::{LoanId, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome};
pub use member_record::MemberRecord;
pub use peer_record::PeerRecord;
pub use reservation::{LoanShare, OwnShare, Reservation};
pub use seal_report::SealReport;
pub use slice_record::SliceRecord;
pub use unresolved_reservation::UnresolvedReservation;
pub use witness_id::WitnessId;
pub use witness_store::WitnessStore;
