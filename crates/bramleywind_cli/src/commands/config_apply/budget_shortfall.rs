use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use bramleywind_config::{BudgetConfig, ConfigDocument};
use bramleywind_store::{Store, StoreKey};
use bramleywind_types::{BudgetId, TokenCount};
use serde::Serialize;

use crate::{CommandError, budget_store::read_page};

/// A budget that a document would set below the tokens already spent or granted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetShortfall {
    /// The id of the budget.
    pub budget: BudgetId,
    /// The prepaid tokens that the document gives it.
    pub asked: TokenCount,
    /// The lowest number of prepaid tokens that would be accepted now.
    pub lowest: TokenCount,
}

impl fmt::Display for BudgetShortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { budget, asked, lowest } = self;
        write!(
            f,
            "budget `{budget}`: `{asked}` prepaid tokens are too few; give it at least `{lowest}`"
        )
    }
}

/// Finds the budgets that the document sets below the tokens already spent or granted, sorted by id.
///
/// The check runs before the write, so a grant made in between is missed. Nothing is overspent then, because
/// the budget's pool stays at zero until its credit covers the spending.
pub(super) async fn find_shortfalls(
    store: &impl Store,
    before: &ConfigDocument,
    after: &ConfigDocument,
) -> Result<Vec<BudgetShortfall>, CommandError> {
    let previous: HashMap<&BudgetId, TokenCount> =
        before.budgets.iter().map(|budget| (&budget.id, budget.prepaid_tokens)).collect();
    // A budget that is new in the document is checked as well: an earlier document may have had it, and tokens
    // may have been spent from it before its removal.
    let is_not_lowered = |budget: &BudgetConfig| {
        previous.get(&budget.id).is_some_and(|tokens| *tokens <= budget.prepaid_tokens)
    };
    let mut by_page: BTreeMap<StoreKey, Vec<&BudgetConfig>> = BTreeMap::new();
    for budget in after.budgets.iter().filter(|budget| !is_not_lowered(budget)) {
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
