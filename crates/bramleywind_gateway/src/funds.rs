//! Prepaid tokens: what this process may spend, and how it gets more.
//!
//! Only tokens that the store already counts as granted are spent, and no process ever takes back a grant of
//! another one. So a process that freezes, dies or writes late can't lead to overspend.

mod budget_account;
mod budget_record;
mod store_action;
mod ended_process;
mod funds_manager;
mod budget_ledger;
mod grant_sizing;
mod holder_grant;
mod pending_reservation;
mod reservation;
mod standby_access;
mod standby_release;
mod takeover;
mod token_rate;
mod use_rate;

pub use budget_account::BudgetAccount;
pub use budget_record::BudgetRecord;
pub use store_action::StoreAction;
pub use ended_process::EndedProcess;
pub use funds_manager::{FundsManager, ReserveOutcome};
pub use budget_ledger::BudgetLedger;
pub use grant_sizing::{GrantInput, GrantSizing};
pub use holder_grant::HolderGrant;
pub use reservation::Reservation;
pub use standby_access::StandbyAccess;
pub use standby_release::StandbyRelease;
pub use takeover::{TakeoverOutcome, plan_takeover};
pub use token_rate::TokenRate;
pub use use_rate::UseRate;
