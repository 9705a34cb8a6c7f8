//! The mutable state of a claim keeper. It must never be borrowed across an await.

use std::collections::{BTreeMap, HashMap};

use bramleywind_store::{StoreKey, StoreVersion};
use bramleywind_types::{BodyHash, RequestKey};

use crate::{ClaimId, ClaimSequence, ClaimStats, RecordedOutcome, page_job::PageJobs};

/// The maximum number of `not_run` claims whose ids are remembered. If one has been forgotten, the next repeat of its
/// request is refused once more before it may run.
const MAX_NOT_RUN_CLAIMS: usize = 10_000;

/// A claim whose ticket was dropped without being ended.
#[derive(Debug)]
pub(crate) struct AbandonedClaim {
    pub(crate) key: RequestKey,
    pub(crate) id: ClaimId,
    pub(crate) has_begun: bool,
}

/// The state of a claim of this process that is open, or whose last change has not been stored yet.
#[derive(Debug)]
pub(crate) enum LocalState {
    /// The write that opens the claim is in progress.
    Opening,
    /// The claim is open in the store, and its ticket has not been ended.
    Open,
    /// The request was never sent, and the claim is being closed.
    Closing,
    /// The request ran, and its outcome is being stored.
    Finished(RecordedOutcome),
    /// The request may have run, and that is being stored.
    Unknown,
}

/// A claim of this process that is open, or whose last change has not been stored yet.
#[derive(Debug)]
pub(crate) struct LocalClaim {
    pub(crate) id: ClaimId,
    pub(crate) body_hash: BodyHash,
    pub(crate) state: LocalState,
}

/// The jobs that wait for the worker of a page. It exists as long as the worker runs.
#[derive(Debug, Default)]
pub(crate) struct PageQueue {
    pub(crate) jobs: PageJobs,
    /// Whether the worker waits for the end of a store outage. New claims are refused meanwhile without calling the
    /// store.
    pub(crate) is_in_outage: bool,
}

#[derive(Debug, Default)]
pub(crate) struct KeeperState {
    pub(crate) next_sequence: u64,
    pub(crate) local_claims: HashMap<RequestKey, LocalClaim>,
    pub(crate) queues: HashMap<StoreKey, PageQueue>,
    /// The highest known version of each page. A read that returns a lower version is stale.
    pub(crate) min_versions: HashMap<StoreKey, StoreVersion>,
    pub(crate) stats: ClaimStats,
    /// The ids of claims that were read or written as `not_run`, by request key.
    not_run_claims: BTreeMap<RequestKey, ClaimId>,
}

impl KeeperState {
    pub(crate) fn allocate_sequence(&mut self) -> ClaimSequence {
        self.next_sequence += 1;
        ClaimSequence(self.next_sequence)
    }

    pub(crate) fn known_not_run(&self, key: &RequestKey) -> Option<ClaimId> {
        self.not_run_claims.get(key).copied()
    }

    pub(crate) fn record_not_run(&mut self, key: &RequestKey, id: ClaimId) {
        if self.not_run_claims.len() >= MAX_NOT_RUN_CLAIMS {
            self.not_run_claims.pop_first();
        }
        self.not_run_claims.insert(key.clone(), id);
    }

    pub(crate) fn min_version(&self, page: &StoreKey) -> StoreVersion {
        self.min_versions.get(page).copied().unwrap_or_default()
    }

    pub(crate) fn raise_min_version(&mut self, page: &StoreKey, version: StoreVersion) {
        let min_version = self.min_versions.entry(page.clone()).or_default();
        *min_version = version.max(*min_version);
    }

    /// Sets the state of a claim, unless another claim of this process has taken over its key.
    pub(crate) fn set_local(&mut self, key: &RequestKey, id: ClaimId, state: LocalState) {
        if let Some(claim) = self.local_claims.get_mut(key).filter(|claim| claim.id == id) {
            claim.state = state;
        }
    }

    /// Removes a claim whose last change is stored, or that was never written.
    pub(crate) fn forget_local(&mut self, key: &RequestKey, id: ClaimId) {
        if self.local_claims.get(key).is_some_and(|claim| claim.id == id) {
            self.local_claims.remove(key);
        }
    }
}
