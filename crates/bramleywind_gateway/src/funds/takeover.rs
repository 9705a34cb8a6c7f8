use std::{collections::BTreeMap, time::Duration};

use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, WorkspaceId};

use super::{Allowance, HolderGrant, StandbyRelease};
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

/// The changes that close the grants of an earlier process: what it can't have spent goes back to the pools. `allowances` are from
/// its presence record, which is `age` old at the most.
///
/// Only for a process of the same instance that is known to have ended, and only in writes that also require its presence
/// record to be unchanged.
pub fn take_over(
    predecessor: IncarnationId,
    entries: Vec<BudgetEntry>,
    allowances: &BTreeMap<WorkspaceId, Allowance>,
    age: Duration,
) -> Vec<BudgetChange> {
    let mut changes = Vec::new();
    for mut entry in entries {
        let grant = entry.record.grant(predecessor);
        if grant.is_closed() || entry.version == StoreVersion::MISSING {
            continue;
        }
        let allowance = allowances.get(&entry.workspace).copied().unwrap_or_default();
        let total = StandbyRelease::new(grant, allowance).spent_at_most(age);
        entry.record.set_grant(predecessor, HolderGrant::closed(total));
        changes.push(BudgetChange {
            workspace: entry.workspace,
            expected: entry.version,
            record: entry.record,
        });
    }
    changes
}
