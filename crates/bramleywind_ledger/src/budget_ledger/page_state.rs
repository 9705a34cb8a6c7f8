use std::{collections::BTreeSet, time::Instant};

use bramleywind_store::{StoreKey, StoreVersion};
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, RequestKey, TokenCount};

use crate::{BudgetPage, retry_delay::RetryDelay};

/// What a keeper knows of one page of the store, and what it wants written there.
#[derive(Debug, Default)]
pub(crate) struct PageState {
    pub(crate) cached: Option<(StoreVersion, BudgetPage)>,
    /// The page has at least this version, so a read that shows an older one is stale.
    pub(crate) min_version: StoreVersion,
    pub(crate) must_read: bool,
    /// The highest version that a write of ours expected whose fate is not known. Such a write can't take
    /// effect any more once the page is seen to have a higher version.
    pub(crate) uncertain_write: Option<StoreVersion>,
    pub(crate) in_flight: bool,
    pub(crate) retry: RetryDelay,
    /// How many rounds have failed.
    pub(crate) failed_updates: u64,
    pub(crate) late_settlements: Vec<LateSettlement>,
    pub(crate) late_retry: RetryDelay,
    pub(crate) resolves: Vec<ResolveTask>,
    /// Sealed incarnations whose slices on this page are to be closed.
    pub(crate) pending_closes: BTreeSet<IncarnationId>,
}

/// Settles a reservation of a sealed incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LateSettlement {
    pub(crate) budget: BudgetId,
    pub(crate) incarnation: IncarnationId,
    pub(crate) reservation: JournalSequence,
    pub(crate) billed: TokenCount,
}

/// Takes back what was counted for earlier attempts of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ResolveTask {
    pub(crate) ticket: u64,
    pub(crate) budget: BudgetId,
    pub(crate) key: RequestKey,
    pub(crate) refund: Option<TokenCount>,
    /// Whether a caller waits for the result and removes the entry.
    pub(crate) is_awaited: bool,
}

/// A request that waits for the pool.
#[derive(Debug)]
pub(crate) struct GrantRequest {
    pub(crate) budget: BudgetId,
    pub(crate) tokens: TokenCount,
    pub(crate) page: StoreKey,
    pub(crate) outcome: Option<GrantOutcome>,
}

/// What came of a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GrantOutcome {
    /// The slice had the tokens when the answer was given.
    Granted,
    /// The pool was read after the demand and does not suffice.
    PoolEmpty,
    UnknownBudget,
    StoreUnavailable,
}

impl PageState {
    /// Due work that goes on until the store lets it succeed.
    pub(crate) fn has_pending_work(&self, now: Instant) -> bool {
        self.uncertain_write.is_some()
            || (!self.late_settlements.is_empty() && self.late_retry.is_due(now))
            || !self.pending_closes.is_empty()
            || self.resolves.iter().any(|resolve| resolve.refund.is_none())
    }
}
