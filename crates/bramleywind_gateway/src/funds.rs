//! Prepaid budgets: the tokens that this process may spend, and how it obtains more.
//!
//! A process spends only tokens that the store already counts as granted, and never revokes the grant of another
//! running process. A process that freezes, dies or writes late therefore cannot cause overspending.

mod budget_account;
mod budget_ledger;
mod budget_record;
mod ended_process;
mod funds_effort;
mod funds_manager;
mod grant_sizing;
mod holder_grant;
mod lender_role;
mod loan_exchange;
mod loan_outcome;
mod pending_reservation;
mod reservation;
mod standby_access;
mod standby_release;
mod store_action;
mod takeover;
mod token_rate;
mod use_rate;
mod wanted_loan;

pub use budget_account::BudgetAccount;
pub use budget_ledger::BudgetLedger;
pub use budget_record::BudgetRecord;
pub use ended_process::EndedProcess;
pub use funds_effort::FundsEffort;
pub use funds_manager::{FundsManager, ReserveOutcome};
pub use grant_sizing::{GrantInput, GrantSizing, HoldPurpose};
pub use holder_grant::HolderGrant;
pub use loan_exchange::LEND_PATIENCE;
pub use reservation::Reservation;
pub use standby_access::StandbyAccess;
pub use standby_release::StandbyRelease;
pub use store_action::StoreAction;
pub use takeover::{SpentBound, TakeoverOutcome, plan_takeover};
pub use token_rate::TokenRate;
pub use use_rate::UseRate;

use lender_role::LenderRole;
use loan_outcome::LoanOutcome;
use wanted_loan::WantedLoan;
