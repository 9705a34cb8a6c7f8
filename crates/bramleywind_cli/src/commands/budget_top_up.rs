//! `budget top-up`: adds tokens to a budget, once for each operation id.

use std::fmt;

use bramleywind_ledger::BudgetPage;
use bramleywind_store::{Store, StoreKey, UnavailableReason, WriteOutcome};
use bramleywind_types::{BudgetId, IncarnationId, OperationId, TokenCount};
use serde::Serialize;

use crate::{
    CommandError, CommandReport,
    budget_store::{StoredPage, read_page},
    config_store::{find_budget, require_config},
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
    if tokens == TokenCount(0) {
        let reason = "a top-up of `0` tokens adds nothing; give at least 1".into();
        return Err(CommandError::TopUpRefused { operation, reason });
    }
    let applied = require_config(store).await?;
    let document = applied.document()?;
    // A mistyped budget would otherwise get a record of its own.
    let config = find_budget(&document, budget)?;
    let key = StoreKey::budget_page(budget);
    let mut schedule = RetrySchedule::start();
    let mut has_lost_answer = false;
    loop {
        let last_error = match read_page(store, &key).await {
            Ok(StoredPage { mut page, version }) => {
                let is_new = add(&mut page, budget, tokens, &operation)?;
                // The routers write the base with their first grant after a change, so the record's may be old.
                let mut record = page.budgets.get(budget).cloned().unwrap_or_default();
                record.set_base(applied.signed.revision, config.prepaid_tokens);
                let report = TopUpReport {
                    budget: budget.clone(),
                    operation_id: operation.clone(),
                    tokens,
                    was_applied_before: !is_new && !has_lost_answer,
                    available: record.pool(),
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

impl fmt::Display for TopUpReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { budget, operation_id, tokens, available, .. } = self;
        let fate = if self.was_applied_before { "has already added" } else { "added" };
        write!(
            f,
            "operation `{operation_id}` {fate} {tokens} tokens to budget `{budget}`; {available} available"
        )
    }
}

impl CommandReport for TopUpReport {}
