use bramleywind_ledger::{BudgetPage, BudgetRecord};
use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion};
use bramleywind_types::BudgetId;

use crate::{CommandError, config_store::stored_value_error};

/// A budget page and the store version to expect when writing it.
#[derive(Debug)]
pub(crate) struct StoredPage {
    pub(crate) page: BudgetPage,
    pub(crate) version: StoreVersion,
}

/// Reads a budget page. A page that was never written is returned as empty.
pub(crate) async fn read_page(
    store: &impl Store,
    key: &StoreKey,
) -> Result<StoredPage, CommandError> {
    match store.read(key).await {
        ReadOutcome::Found(value) => Ok(StoredPage {
            page: BudgetPage::from_bytes(&value.value)
                .map_err(|error| stored_value_error(key, &error))?,
            version: value.version,
        }),
        ReadOutcome::Missing => {
            Ok(StoredPage { page: BudgetPage::default(), version: StoreVersion::MISSING })
        }
        ReadOutcome::Unavailable(reason) => Err(CommandError::StoreUnavailable { reason }),
    }
}

/// Reads the record of a budget, or returns `None` if it was never written.
pub(crate) async fn read_record(
    store: &impl Store,
    budget: &BudgetId,
) -> Result<Option<BudgetRecord>, CommandError> {
    let stored = read_page(store, &StoreKey::budget_page(budget)).await?;
    Ok(stored.page.budgets.get(budget).cloned())
}
