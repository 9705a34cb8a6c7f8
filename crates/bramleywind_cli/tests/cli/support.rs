//! Helpers shared by the tests: a document, a store and a runtime.

use std::{fs, future::Future, path::Path};

use bramleywind_cli::commands::config_apply::{ApplyPlan, ApplyReport, apply_config};
use bramleywind_config::OperatorSigningKey;
use bramleywind_ledger::BudgetPage;
use bramleywind_store::{MemoryStore, StoreKey};
use bramleywind_types::{BudgetId, ConfigRevision, IncarnationId, TokenCount};

pub(crate) const BUDGET: &str = "spring-season";

/// Returns a valid document with one workspace, whose budget has 250,000 tokens.
pub(crate) fn document() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cli/document.jsonc");
    fs::read_to_string(path).unwrap()
}

/// Returns the document with another number of tokens in its budget.
pub(crate) fn document_with_budget(tokens: u64) -> String {
    document().replace("250000", &tokens.to_string())
}

pub(crate) fn budget() -> BudgetId {
    BUDGET.parse().unwrap()
}

/// Returns a plan that applies the text under no conditions, signed with the usual key.
pub(crate) fn apply_plan(text: &str) -> ApplyPlan {
    ApplyPlan {
        file: "fleet.jsonc".into(),
        text: text.into(),
        key: OperatorSigningKey::from_seed([7; 32]),
        expect_revision: None,
        replace_other_key: false,
    }
}

pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// Returns a store with the document in force as revision 1.
pub(crate) async fn store_in_force() -> MemoryStore {
    let store = MemoryStore::new();
    let report = apply_config(&store, &apply_plan(&document())).await.unwrap();
    assert!(matches!(report, ApplyReport::Applied { revision: ConfigRevision(1), .. }));
    store
}

/// Grants tokens of the budget to an instance, as a router does.
pub(crate) fn grant(store: &MemoryStore, tokens: u64) {
    let key = StoreKey::budget_page(&budget());
    let mut page = BudgetPage::default();
    let record = page.budgets.entry(budget()).or_default();
    record.set_base(ConfigRevision(1), TokenCount(250_000));
    let holder = "entry-1".parse().unwrap();
    record.grant(IncarnationId::from_number(1), &holder, TokenCount(tokens));
    store.put(&key, page.to_bytes());
}

/// Returns the sum of the top-ups recorded in the store.
pub(crate) fn topped_up_tokens(store: &MemoryStore) -> u64 {
    let stored = store.peek(&StoreKey::budget_page(&budget()));
    let page = stored.map(|stored| BudgetPage::from_bytes(&stored.value).unwrap());
    let record = page.and_then(|page| page.budgets.get(&budget()).cloned()).unwrap_or_default();
    record.top_ups.values().map(|tokens| tokens.0).sum()
}
