use std::{fmt, time::Duration};

use bramleywind_store::StoreVersion;
use bramleywind_types::{IncarnationId, TokenCount, WorkspaceId};

use super::{HolderGrant, StandbyRelease};
use crate::{
    platform_api::{BudgetChange, BudgetEntry},
    witness::SpendCeilings,
};

/// The outcome of taking over from an earlier process of the same instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverOutcome {
    /// Tokens were returned to their pools.
    Done {
        /// The number of budgets whose tokens were returned.
        budgets: usize,
    },
    /// There was no earlier process, or it held no tokens that are certainly unspent.
    NothingToTake,
    /// The earlier process's presence record changed, so its age must be judged again.
    PresenceChanged,
    /// The age of the earlier process's presence record is unknown, so its standby tokens stay counted as spent.
    AgeUnknown,
}

/// The largest step of a time of day. Clocks are kept close to the true time, and step by seconds.
const MAX_CLOCK_STEP: Duration = Duration::from_secs(60);

/// What is known of the tokens that a process can have spent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpentBound {
    /// All working tokens, and the standby tokens that were released at this age of its presence record.
    Age(Duration),
    /// No more than these ceilings, according to the process's witness.
    Ceilings(SpendCeilings),
}

impl SpentBound {
    /// Returns the bound that follows from two judgements of the age of a process's presence record: by the times of day of most instances,
    /// and by the clock that counts from the boot of its own. `None` if neither is known.
    ///
    /// Most times of day may have stepped back, which makes an age too small, so the larger one holds. Ages that differ by more than any step
    /// belong to different boots, of which the system has not told, and say nothing about each other.
    pub fn from_ages(by_clocks: Option<Duration>, by_boot: Option<Duration>) -> Option<Self> {
        let age = match (by_clocks, by_boot) {
            (Some(by_clocks), Some(by_boot)) if by_clocks.abs_diff(by_boot) <= MAX_CLOCK_STEP => {
                by_clocks.max(by_boot)
            }
            (by_clocks, by_boot) => by_clocks.or(by_boot)?,
        };
        Some(Self::Age(age))
    }

    fn max_spent(&self, workspace: &WorkspaceId, grant: HolderGrant) -> TokenCount {
        match self {
            Self::Age(age) => {
                grant.working.saturating_add(StandbyRelease::new(grant).max_spent(*age))
            }
            Self::Ceilings(ceilings) => {
                let ceiling = ceilings.get(workspace).copied().unwrap_or_default();
                ceiling.min(grant.total())
            }
        }
    }
}

impl fmt::Display for SpentBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Age(age) => write!(f, "a record {} ms old", age.as_millis()),
            Self::Ceilings(ceilings) => write!(f, "ceilings of {} budgets", ceilings.len()),
        }
    }
}

/// Returns the changes that close the grants of `predecessor`. They return the tokens that it cannot have spent to the pools.
///
/// The predecessor must have ended, or its witness must have closed its ceilings. The writes must require that its presence record is
/// unchanged.
pub fn plan_takeover(
    predecessor: IncarnationId,
    entries: Vec<BudgetEntry>,
    bound: &SpentBound,
) -> Vec<BudgetChange> {
    let mut changes = Vec::new();
    for mut entry in entries {
        let grant = entry.record.grant(predecessor);
        let working = bound.max_spent(&entry.workspace, grant);
        let closed = HolderGrant { working, ..HolderGrant::default() };
        if closed == grant || entry.version == StoreVersion::MISSING {
            continue;
        }
        entry.record.set_grant(predecessor, closed);
        changes.push(BudgetChange {
            workspace: entry.workspace,
            expected: entry.version,
            record: entry.record,
        });
    }
    changes
}
