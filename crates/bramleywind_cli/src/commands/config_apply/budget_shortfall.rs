use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use bramleywind_config::{BudgetConfig, ConfigDocument};
use bramleywind_store::{Store, StoreKey};
use bramleywind_types::{BudgetId, TokenCount};
use serde::Serialize;

use crate::{CommandError, budget_store::read_page};

/// A budget that a document would lower too far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetShortfall {
    /// The budget.
    pub budget: BudgetId,
    /// The prepaid tokens that the document gives it.
    pub asked: TokenCount,
    /// The lowest figure that would be accepted now.
    pub lowest: TokenCount,
}

impl fmt::Display for BudgetShortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { budget, asked, lowest } = self;
        write!(
            f,
            "budget `{budget}`: `{asked}` is too low; the lowest figure accepted is `{lowest}`"
        )
    }
}

/// Finds the budgets that are lowered below what is spent or granted, in the order of their ids.
///
/// The check precedes the write, so a grant in between is not seen. The budget's pool then stays at zero
/// until spending is covered, so nothing is overspent.
pub(super) async fn find(
    store: &impl Store,
    before: &ConfigDocument,
    after: &ConfigDocument,
) -> Result<Vec<BudgetShortfall>, CommandError> {
    let previous: HashMap<&BudgetId, TokenCount> =
        before.budgets.iter().map(|budget| (&budget.id, budget.prepaid_tokens)).collect();
    // A budget that is new in the document may have been spent from before it was removed from an earlier one.
    let is_raised = |budget: &BudgetConfig| {
        previous.get(&budget.id).is_some_and(|tokens| *tokens <= budget.prepaid_tokens)
    };
    let mut by_page: BTreeMap<StoreKey, Vec<&BudgetConfig>> = BTreeMap::new();
    for budget in after.budgets.iter().filter(|budget| !is_raised(budget)) {
        by_page.entry(StoreKey::budget_page(&budget.id)).or_default().push(budget);
    }
    let mut shortfalls = Vec::new();
    for (key, budgets) in by_page {
        let stored = read_page(store, &key).await?;
        for budget in budgets {
            let record = stored.page.budgets.get(&budget.id);
            let lowest = record.map_or(TokenCount(0), |record| record.lowest_base());
            if budget.prepaid_tokens < lowest {
                let (budget, asked) = (budget.id.clone(), budget.prepaid_tokens);
                shortfalls.push(BudgetShortfall { budget, asked, lowest });
            }
        }
    }
    shortfalls.sort_by(|left, right| left.budget.cmp(&right.budget));
    Ok(shortfalls)
}
