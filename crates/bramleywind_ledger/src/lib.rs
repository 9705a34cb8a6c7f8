//! A ledger of prepaid token budgets that are shared by stateless routers and can't be overspent.
//!
//! A router spends from slices of a budget that the store has granted durably. It replicates each reservation
//! to witnesses before the request is sent, so the slice of a router that died can be reclaimed exactly.

mod base_credit;
mod budget_page;
mod budget_record;
mod holder_journal;
mod holder_slice;
mod journal;
mod journal_link;
mod ledger_clock;
mod ledger_dump;
mod ledger_outcomes;
mod ledger_settings;
mod loan;
mod loan_registry;
mod member_record;
mod peer_record;
mod reservation;
mod retry_delay;
mod seal_report;
mod signal;
mod slice_record;
mod token_ledger;
mod unresolved_reservation;
mod usage_window;
mod witness_id;
mod witness_store;
mod witness_tracker;

pub use base_credit::BaseCredit;
pub use budget_page::BudgetPage;
pub use budget_record::{BudgetError, BudgetRecord, MAX_UNRESOLVED_RESERVATIONS};
pub use journal::{JournalBatch, JournalEntry, JournalSnapshot, JournalledBudget, OpenReservation};
pub use journal_link::{AppendOutcome, JournalLink, SealOutcome};
pub use ledger_clock::LedgerClock;
pub use ledger_dump::LedgerDump;
pub use ledger_outcomes::{
    BudgetBalance, HandBackOutcome, ReclaimObstacle, ReclaimOutcome, RegisterOutcome,
    ReserveOutcome, ResolveOutcome, UnavailableCause,
};
pub use ledger_settings::{GrantPolicy, LedgerSettings};
pub use loan::{LoanId, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome};
pub use member_record::MemberRecord;
pub use peer_record::PeerRecord;
pub use reservation::{LoanShare, OwnShare, Reservation};
pub use seal_report::SealReport;
pub use slice_record::SliceRecord;
pub use token_ledger::TokenLedger;
pub use unresolved_reservation::UnresolvedReservation;
pub use witness_id::WitnessId;
pub use witness_store::WitnessStore;
