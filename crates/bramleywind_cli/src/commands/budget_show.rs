//! `budget show`: the account of one budget.

mod budget_account;

use std::{collections::HashMap, fmt};

use bramleywind_config::BudgetConfig;
use bramleywind_ledger::MemberRecord;
use bramleywind_store::{ListOutcome, Store, StoreKey};
use bramleywind_types::{BudgetId, IncarnationId};

pub use budget_account::{BudgetAccount, SliceAccount};

use crate::{
    CommandError, CommandReport,
    budget_store::read_record,
    config_store::{AppliedConfig, find_budget, require_config, stored_value_error},
};

/// Reads the account of a budget.
///
/// # Errors
///
/// Fails if the budget is unknown, or if the store does not answer or its value cannot be decoded.
pub async fn show_budget(
    store: &impl Store,
    budget: &BudgetId,
) -> Result<BudgetAccount, CommandError> {
    let applied = require_config(store).await?;
    let document = applied.document()?;
    let config = find_budget(&document, budget)?;
    let is_active = read_active_incarnations(store).await?;
    read_account(store, &applied, config, &is_active).await
}

/// Reads the account of one budget of the configuration.
pub(crate) async fn read_account(
    store: &impl Store,
    applied: &AppliedConfig,
    config: &BudgetConfig,
    is_active: &HashMap<IncarnationId, bool>,
) -> Result<BudgetAccount, CommandError> {
    let mut record = read_record(store, &config.id).await?.unwrap_or_default();
    // Routers write a changed base with their next grant; until then the configuration's value applies.
    record.set_base(applied.signed.revision, config.prepaid_tokens);
    Ok(BudgetAccount::new(config, &record, is_active))
}

/// Reads the incarnations of all member records, each with whether it is unsealed and so may still spend.
pub(crate) async fn read_active_incarnations(
    store: &impl Store,
) -> Result<HashMap<IncarnationId, bool>, CommandError> {
    let entries = match store.list(StoreKey::MEMBERS).await {
        ListOutcome::Found(entries) => entries,
        ListOutcome::Unavailable(reason) => {
            return Err(CommandError::StoreUnavailable { reason });
        }
    };
    let mut is_active = HashMap::new();
    for entry in entries {
        let member = MemberRecord::from_bytes(&entry.entry.value)
            .map_err(|error| stored_value_error(&entry.key, &error))?;
        is_active.insert(member.incarnation, !member.sealed);
    }
    Ok(is_active)
}

impl fmt::Display for BudgetAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "budget `{}` of workspace `{}`", self.budget, self.workspace)?;
        writeln!(f, "  prepaid    {:>15}", self.prepaid)?;
        writeln!(f, "  topped up  {:>15}", self.topped_up)?;
        writeln!(f, "  spent      {:>15}", self.spent)?;
        writeln!(f, "  in slices  {:>15}", self.in_slices)?;
        writeln!(f, "  stranded   {:>15}", self.stranded)?;
        write!(f, "  available  {:>15}", self.available)?;
        for slice in &self.slices {
            let state = if slice.is_stranded { "stranded" } else { "in use" };
            write!(
                f,
                "\n  slice of {} ({}): granted {}, spent {}, {state}",
                slice.holder, slice.incarnation, slice.granted, slice.spent
            )?;
        }
        if self.unresolved.0 > 0 {
            write!(
                f,
                "\n  unresolved reservations, counted as spent until their bills are known: {}",
                self.unresolved
            )?;
        }
        Ok(())
    }
}

impl CommandReport for BudgetAccount {}
