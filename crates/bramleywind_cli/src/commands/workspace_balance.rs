//! `workspace balance`: the tokens that a workspace has left.

use std::fmt;

use bramleywind_config::json::suggestion;
use bramleywind_store::Store;
use bramleywind_types::{TokenCount, WorkspaceId};
use serde::Serialize;

use super::budget_show::{BudgetAccount, read_account, read_active_incarnations};
use crate::{CommandError, CommandReport, Style, config_store::require_config};

/// The balance of a workspace and the accounts of its budgets.
#[derive(Debug, Serialize)]
pub struct BalanceReport {
    /// The id of the workspace.
    pub workspace: WorkspaceId,
    /// The accounts of its budgets.
    pub budgets: Vec<BudgetAccount>,
    /// The tokens of all budgets that are not known to be spent, in pools and in slices.
    pub remaining: TokenCount,
}

/// Reads the accounts of a workspace's budgets.
///
/// # Errors
///
/// Fails if the workspace is unknown, or if the store does not answer or its value cannot be decoded.
pub async fn read_balance(
    store: &impl Store,
    workspace: &WorkspaceId,
) -> Result<BalanceReport, CommandError> {
    let applied = require_config(store).await?;
    let document = applied.document()?;
    if !document.workspaces.iter().any(|known| known.id == *workspace) {
        let known = document.workspaces.iter().map(|known| known.id.as_str());
        let remedy = match suggestion(workspace.as_str(), known) {
            Some(id) => format!("did you mean `{id}`?"),
            None => "check the name with `bramleywind config diff`".into(),
        };
        let workspace = workspace.clone();
        return Err(CommandError::UnknownWorkspace { workspace, remedy: remedy.into() });
    }
    let is_active = read_active_incarnations(store).await?;
    let mut budgets = Vec::new();
    for config in document.budgets.iter().filter(|budget| budget.workspace == *workspace) {
        budgets.push(read_account(store, &applied, config, &is_active).await?);
    }
    let remaining_tokens =
        |budget: &BudgetAccount| budget.available.saturating_add(budget.in_slices);
    let remaining = budgets.iter().map(remaining_tokens).sum();
    Ok(BalanceReport { workspace: workspace.clone(), budgets, remaining })
}

impl fmt::Display for BalanceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (heading, reset) = (Style::HEADING.render(), Style::HEADING.render_reset());
        writeln!(f, "workspace `{}`: {} tokens not spent", self.workspace, self.remaining)?;
        write!(
            f,
            "{heading}{:<30} {:>15} {:>15} {:>15} {:>15}{reset}",
            "budget", "credit", "spent", "in slices", "available"
        )?;
        for account in &self.budgets {
            let credit = account.prepaid.saturating_add(account.topped_up);
            write!(
                f,
                "\n{:<30} {credit:>15} {:>15} {:>15} {:>15}",
                account.budget, account.spent, account.in_slices, account.available
            )?;
        }
        Ok(())
    }
}

impl CommandReport for BalanceReport {}
