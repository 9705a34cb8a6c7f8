use std::time::Duration;

use bramleywind_store::StoreVersion;
use bramleywind_types::IncarnationId;

use super::{HolderGrant, StandbyRelease};
use crate::platform_api::{BudgetChange, BudgetEntry};

/// The outcome of taking over from an earlier process of the same instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverOutcome {
    /// Standby tokens were returned to their pools.
    Done {
        /// The number of budgets whose tokens were returned.
        budgets: usize,
    },
    /// There was no earlier process, or it held no standby tokens that are certainly unspent.
    NothingToTake,
    /// The earlier process's presence record changed, so its age must be judged again.
    PresenceChanged,
    /// The age of the earlier process's presence record is unknown, so its standby tokens stay counted as spent.
    AgeUnknown,
}

/// Returns the changes that close the grants of `predecessor`. They return its standby tokens to the pools, except for
/// those that it can have spent if its presence record is `age` old.
///
/// The predecessor must be a process of the same instance that is known to have ended, and the writes must require that
/// its presence record is unchanged.
pub fn plan_takeover(
    predecessor: IncarnationId,
    entries: Vec<BudgetEntry>,
    age: Duration,
) -> Vec<BudgetChange> {
    let mut changes = Vec::new();
    for mut entry in entries {
        let grant = entry.record.grant(predecessor);
        let spent = StandbyRelease::new(grant).max_spent(age);
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
