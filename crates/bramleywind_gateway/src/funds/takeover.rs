use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount};

use super::HolderGrant;
use crate::link::{BudgetChange, BudgetEntry};

/// What taking over from an earlier process of the same instance came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverOutcome {
    /// Standby tokens went back to the pools.
    Done {
        /// Of how many budgets.
        budgets: usize,
    },
    /// There was no earlier process, or it held no standby tokens that are certainly unspent.
    NothingToTake,
    /// The age of its presence record is not known: its standby tokens stay counted as spent.
    AgeUnknown,
}

/// The changes that give the standby tokens of the process run `predecessor` back to their pools, but for the part that it
/// can have spent.
///
/// Only for a process of the same instance that is known to have ended, and only in writes that also require its presence
/// record to be unchanged.
pub fn take_over(
    predecessor: IncarnationId,
    entries: Vec<BudgetEntry>,
    spent_part: f64,
) -> Vec<BudgetChange> {
    let mut changes = Vec::new();
    for mut entry in entries {
        let grant = entry.record.grant(predecessor);
        let spent = TokenCount((grant.standby.0 as f64 * spent_part).ceil() as u64);
        if spent >= grant.standby || entry.version == StoreVersion::MISSING {
            continue;
        }
        let working = grant.working.saturating_add(spent);
        entry.record.set_grant(predecessor, HolderGrant { working, standby: TokenCount(0) });
        changes.push(BudgetChange {
            workspace: entry.workspace,
            expected: entry.version,
            record: entry.record,
        });
    }
    changes
}
