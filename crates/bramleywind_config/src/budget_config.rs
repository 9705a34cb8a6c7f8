use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, TokenCount, WorkspaceId};
use schemars::JsonSchema;

/// A prepaid budget. Top-ups are added to it and are stored in the budget's record, not in the document.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BudgetConfig {
    /// The budget's unique name.
    pub id: BudgetId,
    /// The workspace that owns the budget.
    pub workspace: WorkspaceId,
    /// The tokens that the workspace has prepaid through the configuration.
    pub prepaid_tokens: TokenCount,
}
