//! What a keeper remembers between calls. Never borrowed across an await.

use std::collections::{BTreeMap, HashMap};

use bramleywind_store::{StoreKey, StoreVersion};
use bramleywind_types::{BodyHash, RequestKey};

use crate::{ClaimId, ClaimSequence, ClaimStats, RecordedOutcome, page_job::PageJobs};

/// The most `not_run` records whose ids are remembered. Forgetting one costs its next repeat one more refusal.
const MAX_NOT_RUN_CLAIMS: usize = 10_000;

/// A claim whose ticket was dropped.
#[derive(Debug)]
pub(crate) struct AbandonedClaim {
    pub(crate) key: RequestKey,
    pub(crate) id: ClaimId,
    pub(crate) has_begun: bool,
}

/// What this process knows of a claim of its own whose last change is not stored.
#[derive(Debug)]
pub(crate) enum LocalState {
    /// The write that opens it is under way.
    Opening,
    /// It is open in the store and its ticket is out.
    Open,
    /// It was never sent and is being closed.
    Closing,
    /// It ran, and the outcome is being stored.
    Finished(RecordedOutcome),
    /// It may have run, and this is being stored.
    Unknown,
}

#[derive(Debug)]
pub(crate) struct LocalClaim {
    pub(crate) id: ClaimId,
    pub(crate) body_hash: BodyHash,
    pub(crate) state: LocalState,
}

/// The jobs of a page while its worker runs.
#[derive(Debug, Default)]
pub(crate) struct PageQueue {
    pub(crate) jobs: PageJobs,
    /// The worker waits for the end of an outage, so new claims are refused without a call.
    pub(crate) is_in_outage: bool,
}

#[derive(Debug, Default)]
pub(crate) struct KeeperState {
    pub(crate) next_sequence: u64,
    pub(crate) local_claims: HashMap<RequestKey, LocalClaim>,
    pub(crate) queues: HashMap<StoreKey, PageQueue>,
    /// The highest version of each page that this process knows of. A read below it is stale.
    pub(crate) min_versions: HashMap<StoreKey, StoreVersion>,
    pub(crate) stats: ClaimStats,
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

    /// Sets the state of a claim, unless the key has passed to another claim of this process.
    pub(crate) fn set_local(&mut self, key: &RequestKey, id: ClaimId, state: LocalState) {
        if let Some(claim) = self.local_claims.get_mut(key).filter(|claim| claim.id == id) {
            claim.state = state;
        }
    }

    /// Forgets a claim whose last change is stored, or that was never written.
    pub(crate) fn forget_local(&mut self, key: &RequestKey, id: ClaimId) {
        if self.local_claims.get(key).is_some_and(|claim| claim.id == id) {
            self.local_claims.remove(key);
        }
    }
}
