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
/// If the budget is unknown, or the store gives no answer or one that cannot be read.
pub async fn show(store: &impl Store, budget: &BudgetId) -> Result<BudgetAccount, CommandError> {
    let applied = require_config(store).await?;
    let document = applied.document()?;
    let config = find_budget(&document, budget)?;
    let active = active_incarnations(store).await?;
    account(store, &applied, config, &active).await
}

/// Reads the account of one budget of the configuration.
pub(crate) async fn account(
    store: &impl Store,
    applied: &AppliedConfig,
    config: &BudgetConfig,
    active: &HashMap<IncarnationId, bool>,
) -> Result<BudgetAccount, CommandError> {
    let mut record = read_record(store, &config.id).await?.unwrap_or_default();
    // The routers write the base with their first grant after a change; until then the configuration's counts.
    record.set_base(applied.signed.revision, config.prepaid_tokens);
    Ok(BudgetAccount::new(config, &record, active))
}

/// The incarnations of all member records, and whether they are still free to spend.
pub(crate) async fn active_incarnations(
    store: &impl Store,
) -> Result<HashMap<IncarnationId, bool>, CommandError> {
    let entries = match store.list(StoreKey::MEMBERS).await {
        ListOutcome::Found(entries) => entries,
        ListOutcome::Unavailable(reason) => {
            return Err(CommandError::StoreUnavailable { reason });
        }
    };
    let mut active = HashMap::new();
    for entry in entries {
        let member = MemberRecord::from_bytes(&entry.entry.value)
            .map_err(|error| stored_value_error(&entry.key, &error))?;
        active.insert(member.incarnation, !member.sealed);
    }
    Ok(active)
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
            write!(f, "\n  counted as spent until their bills are known: {}", self.unresolved)?;
        }
        Ok(())
    }
}

impl CommandReport for BudgetAccount {}
