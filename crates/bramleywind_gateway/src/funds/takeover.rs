use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount};

use super::HolderGrant;
use crate::link::{BudgetChange, BudgetEntry};

/// What taking over from an earlier process of the same instance came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverOutcome {
    /// The standby tokens went back to the pools.
    Done {
        /// Of how many budgets.
        budgets: usize,
    },
    /// There was no earlier process, or its entry had ended: its standby tokens stay counted as spent.
    NothingToTake,
}

/// The changes that give the standby tokens of the process run `predecessor` back to their pools.
///
/// Only for a process of the same instance that is known to have ended, and only in writes that also require its entry
/// in the member list: while that entry is there, none of these tokens has been spent.
pub fn take_over(predecessor: IncarnationId, entries: Vec<BudgetEntry>) -> Vec<BudgetChange> {
    let mut changes = Vec::new();
    for mut entry in entries {
        let grant = entry.record.grant(predecessor);
        if grant.standby == TokenCount(0) || entry.version == StoreVersion::MISSING {
            continue;
        }
        let kept = HolderGrant { standby: TokenCount(0), ..grant };
        entry.record.set_grant(predecessor, kept);
        changes.push(BudgetChange {
            workspace: entry.workspace,
            expected: entry.version,
            record: entry.record,
        });
    }
    changes
}
