use std::collections::HashMap;

use bramleywind_config::BudgetConfig;
use bramleywind_ledger::BudgetRecord;
use bramleywind_types::{BudgetId, IncarnationId, InstanceId, TokenCount, WorkspaceId};
use serde::Serialize;

/// The account of a budget as recorded in the store, in tokens. Routers record the spending from a slice with
/// their next write of the page, so `spent` lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetAccount {
    /// The id of the budget.
    pub budget: BudgetId,
    /// The id of its workspace.
    pub workspace: WorkspaceId,
    /// The tokens that the configuration gives it.
    pub prepaid: TokenCount,
    /// The sum of the operators' top-ups.
    pub topped_up: TokenCount,
    /// The tokens that are known to be spent.
    pub spent: TokenCount,
    /// The tokens that routers hold and are not known to have spent.
    pub in_slices: TokenCount,
    /// The part of `in_slices` whose holders are sealed or gone. It counts as spent until it is reclaimed.
    pub stranded: TokenCount,
    /// The tokens in the pool for new grants.
    pub available: TokenCount,
    /// The part of `spent` that covers reservations whose bills are not known.
    pub unresolved: TokenCount,
    /// The slices granted to routers.
    pub slices: Vec<SliceAccount>,
}

/// A slice of a budget, granted to one incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SliceAccount {
    /// The incarnation that holds the slice.
    pub incarnation: IncarnationId,
    /// The instance of that incarnation.
    pub holder: InstanceId,
    /// The tokens granted to it.
    pub granted: TokenCount,
    /// The tokens that it is known to have spent.
    pub spent: TokenCount,
    /// Whether the incarnation is sealed or has no member record.
    pub is_stranded: bool,
}

impl BudgetAccount {
    /// Builds the account from the record. `is_active` tells whether an incarnation may still spend.
    pub(super) fn new(
        config: &BudgetConfig,
        record: &BudgetRecord,
        is_active: &HashMap<IncarnationId, bool>,
    ) -> Self {
        let slices: Vec<_> = record
            .slices
            .iter()
            .map(|(incarnation, slice)| SliceAccount {
                incarnation: *incarnation,
                holder: slice.holder.clone(),
                granted: slice.granted,
                spent: slice.settled,
                is_stranded: !is_active.get(incarnation).copied().unwrap_or(false),
            })
            .collect();
        let unspent_tokens = |slice: &SliceAccount| slice.granted.saturating_sub(slice.spent);
        Self {
            budget: config.id.clone(),
            workspace: config.workspace.clone(),
            prepaid: record.base.tokens,
            topped_up: record.top_ups.values().copied().sum(),
            spent: record.known_spent(),
            in_slices: slices.iter().map(unspent_tokens).sum(),
            stranded: slices.iter().filter(|slice| slice.is_stranded).map(unspent_tokens).sum(),
            available: record.pool(),
            unresolved: record.unresolved.iter().map(|entry| entry.tokens).sum(),
            slices,
        }
    }
}
