use std::collections::HashMap;

use bramleywind_config::BudgetConfig;
use bramleywind_ledger::BudgetRecord;
use bramleywind_types::{BudgetId, IncarnationId, InstanceId, TokenCount, WorkspaceId};
use serde::Serialize;

/// The account of a budget as the store knows it, in tokens. Routers write what they spent from a slice with
/// their next page write, so `spent` lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetAccount {
    /// The budget.
    pub budget: BudgetId,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// What the configuration gives.
    pub prepaid: TokenCount,
    /// What operators added.
    pub topped_up: TokenCount,
    /// What is known to be spent.
    pub spent: TokenCount,
    /// What routers hold and are not known to have spent.
    pub in_slices: TokenCount,
    /// The part of `in_slices` whose holders are sealed or gone; it counts as spent until they are reclaimed.
    pub stranded: TokenCount,
    /// What the pool has for new grants.
    pub available: TokenCount,
    /// The part of `spent` that stands for reservations whose bills are not known.
    pub unresolved: TokenCount,
    /// The slices.
    pub slices: Vec<SliceAccount>,
}

/// A slice of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SliceAccount {
    /// The holder's incarnation.
    pub incarnation: IncarnationId,
    /// The holder's instance.
    pub holder: InstanceId,
    /// What it was granted.
    pub granted: TokenCount,
    /// What it is known to have spent.
    pub spent: TokenCount,
    /// Whether the incarnation is sealed or gone.
    pub is_stranded: bool,
}

impl BudgetAccount {
    pub(super) fn new(
        config: &BudgetConfig,
        record: &BudgetRecord,
        active: &HashMap<IncarnationId, bool>,
    ) -> Self {
        let slices: Vec<_> = record
            .slices
            .iter()
            .map(|(incarnation, slice)| SliceAccount {
                incarnation: *incarnation,
                holder: slice.holder.clone(),
                granted: slice.granted,
                spent: slice.settled,
                is_stranded: !active.get(incarnation).copied().unwrap_or(false),
            })
            .collect();
        let unspent = |slice: &SliceAccount| slice.granted.saturating_sub(slice.spent);
        Self {
            budget: config.id.clone(),
            workspace: config.workspace.clone(),
            prepaid: record.base.tokens,
            topped_up: record.top_ups.values().copied().sum(),
            spent: record.known_spent(),
            in_slices: slices.iter().map(unspent).sum(),
            stranded: slices.iter().filter(|slice| slice.is_stranded).map(unspent).sum(),
            available: record.pool(),
            unresolved: record.unresolved.iter().map(|entry| entry.tokens).sum(),
            slices,
        }
    }
}
