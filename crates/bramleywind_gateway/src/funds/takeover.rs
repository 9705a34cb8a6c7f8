use std::time::Duration;

use bramleywind_store::StoreVersion;
use bramleywind_types::IncarnationId;

use super::{HolderGrant, StandbyRelease};
use crate::platform_api::{BudgetChange, BudgetEntry};

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

/// The changes that close the grants of the process run `predecessor`: its standby tokens go back to their pools, but for
/// those that it can have spent if its presence record is `age` old.
///
/// Only for a process of the same instance that is known to have ended, and only in writes that also require its presence
/// record to be unchanged.
pub fn plan_takeover(
    predecessor: IncarnationId,
    entries: Vec<BudgetEntry>,
    age: Duration,
) -> Vec<BudgetChange> {
    let mut changes = Vec::new();
    for mut entry in entries {
        let grant = entry.record.grant(predecessor);
        let spent = StandbyRelease::new(grant).spent_at_most(age);
        let is_settled = HolderGrant { working: grant.working, ..HolderGrant::default() } == grant;
        if is_settled || entry.version == StoreVersion::MISSING {
            continue;
        }
        let working = grant.working.saturating_add(spent);
        entry.record.set_grant(predecessor, HolderGrant { working, ..HolderGrant::default() });
        changes.push(BudgetChange {
            workspace: entry.workspace,
            expected: entry.version,
            record: entry.record,
        });
    }
    changes
}
