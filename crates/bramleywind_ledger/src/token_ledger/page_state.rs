use std::{collections::BTreeSet, time::Instant};

use bramleywind_store::{StoreKey, StoreVersion};
use bramleywind_types::{BudgetId, IncarnationId, JournalSequence, RequestKey, TokenCount};

use crate::{BudgetPage, retry_delay::RetryDelay};

/// The state of one budget page: its cached content and the work that waits to be written to it.
#[derive(Debug, Default)]
pub(crate) struct PageState {
    pub(crate) cached: Option<(StoreVersion, BudgetPage)>,
    /// The lowest version that the page can have. A read that returns an older one is stale.
    pub(crate) min_version: StoreVersion,
    pub(crate) must_read: bool,
    /// The highest version expected by a write of this router whose outcome is unknown. The write can no
    /// longer take effect once the page is seen at a higher version.
    pub(crate) uncertain_write: Option<StoreVersion>,
    pub(crate) in_flight: bool,
    pub(crate) retry: RetryDelay,
    /// The number of failed updates of the page.
    pub(crate) failed_updates: u64,
    pub(crate) late_settlements: Vec<LateSettlement>,
    pub(crate) late_retry: RetryDelay,
    pub(crate) resolves: Vec<ResolveTask>,
    /// Sealed incarnations whose slices on this page have yet to be closed.
    pub(crate) pending_closes: BTreeSet<IncarnationId>,
}

/// The settlement of a reservation of a sealed incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LateSettlement {
    pub(crate) budget: BudgetId,
    pub(crate) incarnation: IncarnationId,
    pub(crate) reservation: JournalSequence,
    pub(crate) billed: TokenCount,
}

/// A refund of the tokens that were counted for earlier attempts of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ResolveTask {
    pub(crate) ticket: u64,
    pub(crate) budget: BudgetId,
    pub(crate) key: RequestKey,
    pub(crate) refund: Option<TokenCount>,
    /// Whether a caller waits for the result and removes the entry.
    pub(crate) is_awaited: bool,
}

/// A request that waits for a grant from the pool.
#[derive(Debug)]
pub(crate) struct GrantRequest {
    pub(crate) budget: BudgetId,
    pub(crate) tokens: TokenCount,
    pub(crate) page: StoreKey,
    pub(crate) outcome: Option<GrantOutcome>,
}

/// The outcome of a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GrantOutcome {
    /// The slice had enough tokens at the time of the outcome.
    Granted,
    /// The pool was read after the request arrived, and does not suffice.
    PoolEmpty,
    UnknownBudget,
    StoreUnavailable,
}

impl PageState {
    /// Reports whether work is due that is retried until it succeeds, unlike a grant request.
    pub(crate) fn has_pending_work(&self, now: Instant) -> bool {
        self.uncertain_write.is_some()
            || (!self.late_settlements.is_empty() && self.late_retry.is_due(now))
            || !self.pending_closes.is_empty()
            || self.resolves.iter().any(|resolve| resolve.refund.is_none())
    }
}
