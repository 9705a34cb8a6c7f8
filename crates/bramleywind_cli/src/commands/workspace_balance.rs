//! `workspace balance`: what a workspace has left.

use std::fmt;

use bramleywind_config::json::suggestion;
use bramleywind_store::Store;
use bramleywind_types::{TokenCount, WorkspaceId};
use serde::Serialize;

use super::budget_show::{BudgetAccount, account, active_incarnations};
use crate::{CommandError, CommandReport, Style, config_store::require_config};

/// The accounts of a workspace's budgets.
#[derive(Debug, Serialize)]
pub struct BalanceReport {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its budgets.
    pub budgets: Vec<BudgetAccount>,
    /// What is not known to be spent, over all budgets: in pools and in slices.
    pub remaining: TokenCount,
}

/// Reads the accounts of a workspace's budgets.
///
/// # Errors
///
/// If the workspace is unknown, or the store gives no answer or one that cannot be read.
pub async fn balance(
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
    let active = active_incarnations(store).await?;
    let mut budgets = Vec::new();
    for config in document.budgets.iter().filter(|budget| budget.workspace == *workspace) {
        budgets.push(account(store, &applied, config, &active).await?);
    }
    let left = |budget: &BudgetAccount| budget.available.saturating_add(budget.in_slices);
    let remaining = budgets.iter().map(left).sum();
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
