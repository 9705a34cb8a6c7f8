use bramleywind_macros::domain_type;
use bramleywind_types::{BudgetId, TokenCount, WorkspaceId};
use schemars::JsonSchema;

/// A prepaid budget. Top-ups come on top and are kept with the budget's record, not here.
#[domain_type]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BudgetConfig {
    /// The budget's name.
    pub id: BudgetId,
    /// The workspace that it belongs to.
    pub workspace: WorkspaceId,
    /// What the workspace has paid in by configuration, in tokens.
    pub prepaid_tokens: TokenCount,
}
