//! `budget top-up`: adds tokens to a budget, once for each operation id.

use std::fmt;

use bramleywind_config::json::suggestion;
use bramleywind_ledger::BudgetPage;
use bramleywind_store::{Store, StoreKey, UnavailableReason, WriteOutcome};
use bramleywind_types::{BudgetId, IncarnationId, OperationId, TokenCount};
use serde::Serialize;

use crate::{
    CommandError, CommandReport,
    budget_store::{StoredPage, read_page},
    config_store::require_config,
    retry::RetrySchedule,
};

/// What a top-up came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TopUpReport {
    /// The budget.
    pub budget: BudgetId,
    /// The operation's id.
    pub operation_id: OperationId,
    /// What the operation added.
    pub tokens: TokenCount,
    /// Whether an earlier command had added it already.
    pub was_applied_before: bool,
    /// What the pool has for new grants after it.
    pub available: TokenCount,
}

/// A new id for an operation that the operator did not name.
pub fn random_operation() -> OperationId {
    let id = format!("top-up-{}", IncarnationId::random());
    id.parse().expect("a fixed prefix and hexadecimal digits are a valid id")
}

/// Adds tokens to a budget, unless the operation has done so before.
///
/// # Errors
///
/// If the budget is unknown, the operation id was used with another figure, or the store gives no answer.
/// After [`CommandError::FateUnknown`], repeating with the same operation id is safe.
pub async fn top_up(
    store: &impl Store,
    budget: &BudgetId,
    tokens: TokenCount,
    operation: OperationId,
) -> Result<TopUpReport, CommandError> {
    require_budget(store, budget).await?;
    let key = StoreKey::budget_page(budget);
    let mut schedule = RetrySchedule::start();
    let mut has_lost_answer = false;
    loop {
        let last_error = match read_page(store, &key).await {
            Ok(StoredPage { mut page, version }) => {
                let is_new = add(&mut page, budget, tokens, &operation)?;
                let report = TopUpReport {
                    budget: budget.clone(),
                    operation_id: operation.clone(),
                    tokens,
                    was_applied_before: !is_new && !has_lost_answer,
                    available: page.budgets.get(budget).map(|r| r.pool()).unwrap_or_default(),
                };
                if !is_new {
                    return Ok(report);
                }
                match store.write(&key, page.to_bytes(), version).await {
                    WriteOutcome::Applied(_) => return Ok(report),
                    WriteOutcome::Unknown => has_lost_answer = true,
                    // Another writer came first, or the store refused: read again.
                    WriteOutcome::Conflict | WriteOutcome::NotApplied(_) => {}
                }
                CommandError::StoreUnavailable { reason: UnavailableReason::Timeout }
            }
            Err(error @ CommandError::StoreUnavailable { .. }) => error,
            Err(error) => return Err(error),
        };
        if !schedule.wait().await {
            let hint = format!(" with `--operation-id {operation}`").into();
            let unknown = CommandError::FateUnknown { hint };
            return Err(if has_lost_answer { unknown } else { last_error });
        }
    }
}

fn add(
    page: &mut BudgetPage,
    budget: &BudgetId,
    tokens: TokenCount,
    operation: &OperationId,
) -> Result<bool, CommandError> {
    let record = page.budgets.entry(budget.clone()).or_default();
    record.top_up(operation.clone(), tokens).map_err(|error| CommandError::TopUpRefused {
        operation: operation.clone(),
        reason: error.to_string().into(),
    })
}

/// A mistyped budget would otherwise get a record of its own.
async fn require_budget(store: &impl Store, budget: &BudgetId) -> Result<(), CommandError> {
    let document = require_config(store).await?.document()?;
    if document.budgets.iter().any(|known| known.id == *budget) {
        return Ok(());
    }
    let known = document.budgets.iter().map(|known| known.id.as_str());
    let remedy = match suggestion(budget.as_str(), known) {
        Some(id) => format!("did you mean `{id}`?"),
        None => "add it to the configuration first".into(),
    };
    Err(CommandError::UnknownBudget { budget: budget.clone(), remedy: remedy.into() })
}

impl fmt::Display for TopUpReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { budget, operation_id, tokens, available, .. } = self;
        let fate = if self.was_applied_before { "had added already" } else { "added" };
        write!(
            f,
            "operation `{operation_id}` {fate} {tokens} tokens to budget `{budget}`; {available} available"
        )
    }
}

impl CommandReport for TopUpReport {}
