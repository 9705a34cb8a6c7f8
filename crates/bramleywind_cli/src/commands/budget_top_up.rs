//! `budget top-up`: adds tokens to a budget, once per operation id.

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

/// The result of a top-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TopUpReport {
    /// The id of the budget.
    pub budget: BudgetId,
    /// The id of the operation.
    pub operation_id: OperationId,
    /// The tokens that the operation added.
    pub tokens: TokenCount,
    /// Whether an earlier command had already added the tokens.
    pub was_applied_before: bool,
    /// The tokens in the pool for new grants after the top-up.
    pub available: TokenCount,
}

/// Returns a random id for an operation for which the operator gave none.
pub fn random_operation_id() -> OperationId {
    let id = format!("top-up-{}", IncarnationId::random());
    id.parse().expect("a fixed prefix and hexadecimal digits are a valid id")
}

/// Adds tokens to a budget, unless the operation has already been applied.
///
/// # Errors
///
/// Fails if the budget is unknown, if the operation id was used with another number of tokens, or if the
/// store does not answer. After [`CommandError::FateUnknown`], repeating with the same operation id is safe.
pub async fn top_up_budget(
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
    // Without this check, a mistyped budget id would create a record of its own.
    let config = find_budget(&document, budget)?;
    let key = StoreKey::budget_page(budget);
    let mut schedule = RetrySchedule::start();
    let mut has_lost_answer = false;
    loop {
        let last_error = match read_page(store, &key).await {
            Ok(StoredPage { mut page, version }) => {
                let is_new = add_tokens(&mut page, budget, tokens, &operation)?;
                // Routers write a changed base with their next grant, so the record's base may be outdated.
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
                    // Another writer came first, or the store refused the write: read again.
                    WriteOutcome::Conflict | WriteOutcome::NotApplied(_) => {}
                }
                CommandError::StoreUnavailable { reason: UnavailableReason::Timeout }
            }
            Err(error @ CommandError::StoreUnavailable { .. }) => error,
            Err(error) => return Err(error),
        };
        if !schedule.wait_for_attempt().await {
            let hint = format!(" with `--operation-id {operation}`").into();
            let unknown_outcome = CommandError::FateUnknown { hint };
            return Err(if has_lost_answer { unknown_outcome } else { last_error });
        }
    }
}

/// Adds the top-up to the budget's record, and returns whether the operation is new.
fn add_tokens(
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
        let verb = if self.was_applied_before { "has already added" } else { "added" };
        write!(
            f,
            "operation `{operation_id}` {verb} {tokens} tokens to budget `{budget}`; {available} available"
        )
    }
}

impl CommandReport for TopUpReport {}
