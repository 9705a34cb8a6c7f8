use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{Store, StoreKey};
use bramleywind_types::{BodyHash, RequestKey};
use futures_channel::oneshot;

use crate::{
    ClaimHolder, ClaimId, ClaimLink, ClaimQuery, ClaimState, ClaimStats, ClaimStatus, ClaimTicket,
    CloseOutcome, MAX_CLAIM_BODY_BYTES, OpeningOutcome, RecordedOutcome, UnavailableClaim,
    keeper_state::{AbandonedClaim, KeeperState, LocalClaim, LocalState},
    page_job::{ChangeJob, OpenJob, PageReply},
    page_worker::PageWorker,
};

/// The interval at which a copy of a request checks whether an earlier copy in this process has ended.
const LOCAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The interval at which a copy of a request asks another router whether an earlier copy has ended.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps non-idempotent requests from running twice, by writing a durable claim of each request's key to the store.
///
/// A clone is another handle to the same keeper. Claims that wait for the same page share one compare-and-swap, and
/// each page has at most one write in progress. Writes run in separate tasks, so that the result of a write is
/// processed even if the caller disconnects.
#[derive(Debug)]
pub struct ClaimKeeper<S, L> {
    shared: Rc<KeeperShared<S, L>>,
}

/// The state that the handles of a keeper share with its page workers.
#[derive(Debug)]
pub(crate) struct KeeperShared<S, L> {
    pub(crate) store: S,
    pub(crate) link: L,
    pub(crate) holder: ClaimHolder,
    pub(crate) state: RefCell<KeeperState>,
    pub(crate) abandoned_sender: async_channel::Sender<AbandonedClaim>,
    abandoned_receiver: async_channel::Receiver<AbandonedClaim>,
}

impl<S, L> Clone for ClaimKeeper<S, L> {
    fn clone(&self) -> Self {
        Self { shared: Rc::clone(&self.shared) }
    }
}

impl<S: Store + 'static, L: ClaimLink + 'static> ClaimKeeper<S, L> {
    /// Creates a keeper for this process. `holder` identifies the process run and must not be used by another keeper.
    pub fn new(store: S, link: L, holder: ClaimHolder) -> Self {
        let (abandoned_sender, abandoned_receiver) = async_channel::unbounded();
        let state = RefCell::default();
        Self {
            shared: Rc::new(KeeperShared {
                store,
                link,
                holder,
                state,
                abandoned_sender,
                abandoned_receiver,
            }),
        }
    }

    /// Closes claims whose ticket was dropped. Must be spawned once, when the process starts, and runs until its task
    /// is dropped.
    pub async fn maintain(&self) {
        while let Ok(claim) = self.shared.abandoned_receiver.recv().await {
            let state = if claim.has_begun { ClaimState::Unknown } else { ClaimState::NotRun };
            self.enqueue_change(&claim.key, claim.id, state, None);
        }
    }

    /// Opens the claim of a request. If an earlier copy of the request is running, waits for its outcome until
    /// `deadline`.
    pub async fn open(
        &self,
        key: &RequestKey,
        body_hash: BodyHash,
        deadline: Instant,
    ) -> OpeningOutcome {
        let known_not_run = self.shared.state.borrow().known_not_run(key);
        let mut unanswered_claim = None;
        loop {
            if let Some(outcome) = self.wait_for_local_claim(key, body_hash, deadline).await {
                return outcome;
            }
            let record = match self.open_in_page(key, body_hash, known_not_run, deadline).await {
                PageReply::Opened(ticket) => return OpeningOutcome::Opened(ticket),
                PageReply::Mismatch => return OpeningOutcome::Mismatch,
                PageReply::NotRun => return OpeningOutcome::NotRun,
                PageReply::Unavailable(reason) => return OpeningOutcome::Unavailable(reason),
                PageReply::Existing(record) => record,
            };
            let id = record.id();
            match record.state {
                ClaimState::Done(outcome) => return OpeningOutcome::Recorded(outcome),
                ClaimState::Unknown => return OpeningOutcome::OutcomeUnknown,
                // The page worker replies to these itself, so it never returns a record in this state.
                ClaimState::NotRun => return OpeningOutcome::NotRun,
                ClaimState::Open => {}
            }
            let outcome_at_deadline = match self
                .query_holder(key, id, &record.holder, deadline)
                .await
            {
                ClaimStatus::Finished(outcome) => return OpeningOutcome::Recorded(outcome),
                ClaimStatus::Running => OpeningOutcome::Running(record.holder),
                ClaimStatus::NeverSent => OpeningOutcome::Unavailable(UnavailableClaim::Unresolved),
                // The holder forgets a claim once its last change is stored, so the read of the page may have been
                // stale. The page is read once more.
                ClaimStatus::Unknown if unanswered_claim != Some(id) => {
                    unanswered_claim = Some(id);
                    OpeningOutcome::OutcomeUnknown
                }
                ClaimStatus::Unknown => return OpeningOutcome::OutcomeUnknown,
            };
            if !sleep_before(deadline, LOCAL_POLL_INTERVAL).await {
                return outcome_at_deadline;
            }
        }
    }

    /// Records the outcome of a claimed request in the background. An outcome with a body over
    /// [`MAX_CLAIM_BODY_BYTES`] is not kept, and repeats of its request are told that it may have run.
    pub fn finish(&self, ticket: ClaimTicket, outcome: RecordedOutcome) {
        let state = if outcome.body.len() <= MAX_CLAIM_BODY_BYTES {
            ClaimState::Done(outcome)
        } else {
            ClaimState::Unknown
        };
        self.enqueue_change(ticket.key(), ticket.id(), state, None);
        ticket.defuse();
    }

    /// Records in the background that a claimed request may have run.
    pub fn finish_unknown(&self, ticket: ClaimTicket) {
        self.enqueue_change(ticket.key(), ticket.id(), ClaimState::Unknown, None);
        ticket.defuse();
    }

    /// Closes a claim whose request certainly did not run: it was never sent, no byte of it reached the endpoint, or
    /// the endpoint refused it before running it.
    ///
    /// The caller may be told `not_run` only after [`CloseOutcome::Stored`]. After [`CloseOutcome::Pending`] it is told
    /// `may_have_run`, to be repeated with the same key.
    pub async fn close_not_run(&self, ticket: ClaimTicket, deadline: Instant) -> CloseOutcome {
        let (sender, receiver) = oneshot::channel();
        self.enqueue_change(ticket.key(), ticket.id(), ClaimState::NotRun, Some(sender));
        ticket.defuse();
        let left = deadline.saturating_duration_since(Instant::now());
        match compio::time::timeout(left, receiver).await {
            Ok(Ok(())) => CloseOutcome::Stored,
            _ => CloseOutcome::Pending,
        }
    }

    /// Returns the status of a claim of this process, for a query of another router.
    pub fn answer_query(&self, query: &ClaimQuery) -> ClaimStatus {
        let state = self.shared.state.borrow();
        match state.local_claims.get(&query.key).filter(|claim| claim.id == query.claim) {
            None => ClaimStatus::Unknown,
            Some(claim) => match &claim.state {
                LocalState::Opening | LocalState::Open => ClaimStatus::Running,
                LocalState::Closing => ClaimStatus::NeverSent,
                LocalState::Finished(outcome) => ClaimStatus::Finished(outcome.clone()),
                LocalState::Unknown => ClaimStatus::Unknown,
            },
        }
    }

    /// Waits until the last changes of all claims are stored, or until `deadline`. All tickets must have been ended
    /// before.
    pub async fn drain(&self, deadline: Instant) -> CloseOutcome {
        loop {
            if self.shared.state.borrow().local_claims.is_empty() {
                return CloseOutcome::Stored;
            }
            if !sleep_before(deadline, LOCAL_POLL_INTERVAL).await {
                return CloseOutcome::Pending;
            }
        }
    }

    /// Returns the counters of this keeper.
    pub fn stats(&self) -> ClaimStats {
        let state = self.shared.state.borrow();
        ClaimStats { live: state.local_claims.len() as u64, ..state.stats }
    }

    /// Waits while this process has a claim of the key, until `deadline`. Returns `None` once it has none, so that the
    /// caller must read the page.
    async fn wait_for_local_claim(
        &self,
        key: &RequestKey,
        body_hash: BodyHash,
        deadline: Instant,
    ) -> Option<OpeningOutcome> {
        loop {
            let outcome_at_deadline = {
                let state = self.shared.state.borrow();
                let claim = state.local_claims.get(key)?;
                if claim.body_hash != body_hash {
                    return Some(OpeningOutcome::Mismatch);
                }
                match &claim.state {
                    LocalState::Finished(outcome) => {
                        return Some(OpeningOutcome::Recorded(outcome.clone()));
                    }
                    LocalState::Unknown => return Some(OpeningOutcome::OutcomeUnknown),
                    LocalState::Closing => {
                        OpeningOutcome::Unavailable(UnavailableClaim::Unresolved)
                    }
                    LocalState::Opening | LocalState::Open => {
                        OpeningOutcome::Running(self.shared.holder.clone())
                    }
                }
            };
            if !sleep_before(deadline, LOCAL_POLL_INTERVAL).await {
                return Some(outcome_at_deadline);
            }
        }
    }

    /// Queues an open job for the page of the key, and waits for the reply of its worker.
    async fn open_in_page(
        &self,
        key: &RequestKey,
        body_hash: BodyHash,
        known_not_run: Option<ClaimId>,
        deadline: Instant,
    ) -> PageReply {
        let (reply, receiver) = oneshot::channel();
        {
            let mut state = self.shared.state.borrow_mut();
            let page = StoreKey::claim_page(key);
            if state.queues.get(&page).is_some_and(|queue| queue.is_in_outage) {
                return PageReply::Unavailable(UnavailableClaim::Outage);
            }
            let id = ClaimId { run: self.shared.holder.run, sequence: state.allocate_sequence() };
            let claim = LocalClaim { id, body_hash, state: LocalState::Opening };
            state.local_claims.insert(key.clone(), claim);
            let key = key.clone();
            let job = OpenJob {
                key,
                body_hash,
                id,
                known_not_run,
                deadline,
                attempted_version: None,
                reply,
            };
            let queue = self.queue_with_worker(&mut state, page);
            queue.jobs.opens.push(job);
        }
        // The worker replies to each job, unless the runtime shuts down.
        receiver.await.unwrap_or(PageReply::Unavailable(UnavailableClaim::Unresolved))
    }

    /// Queries the holder of a claim until its status is no longer `Running` or the deadline has passed.
    async fn query_holder(
        &self,
        key: &RequestKey,
        claim: ClaimId,
        holder: &ClaimHolder,
        deadline: Instant,
    ) -> ClaimStatus {
        let query = ClaimQuery { key: key.clone(), claim };
        loop {
            let status = if *holder == self.shared.holder {
                self.answer_query(&query)
            } else {
                self.shared.link.query(holder, &query).await
            };
            if status != ClaimStatus::Running || !sleep_before(deadline, REMOTE_POLL_INTERVAL).await
            {
                return status;
            }
        }
    }

    /// Sets the local state of a claim and queues the change for its page. Does nothing if the claim is no longer
    /// known.
    fn enqueue_change(
        &self,
        key: &RequestKey,
        id: ClaimId,
        claim_state: ClaimState,
        stored: Option<oneshot::Sender<()>>,
    ) {
        let mut state = self.shared.state.borrow_mut();
        let Some(claim) = state.local_claims.get_mut(key).filter(|claim| claim.id == id) else {
            return;
        };
        claim.state = match &claim_state {
            ClaimState::Done(outcome) => LocalState::Finished(outcome.clone()),
            ClaimState::NotRun => LocalState::Closing,
            ClaimState::Open | ClaimState::Unknown => LocalState::Unknown,
        };
        let body_hash = claim.body_hash;
        let key = key.clone();
        let page = StoreKey::claim_page(&key);
        let job =
            ChangeJob { key, body_hash, id, state: claim_state, attempted_version: None, stored };
        let queue = self.queue_with_worker(&mut state, page);
        queue.jobs.changes.push(job);
    }

    /// Returns the queue of a page. If there is none, creates it and starts a worker for the page.
    fn queue_with_worker<'a>(
        &self,
        state: &'a mut KeeperState,
        page: StoreKey,
    ) -> &'a mut crate::keeper_state::PageQueue {
        state.queues.entry(page.clone()).or_insert_with(|| {
            let worker = PageWorker::new(Rc::clone(&self.shared), page);
            compio::runtime::spawn(worker.run()).detach();
            Default::default()
        })
    }
}

/// Sleeps for `delay`, but not beyond the deadline. Returns false if the deadline came first.
async fn sleep_before(deadline: Instant, delay: Duration) -> bool {
    let left = deadline.saturating_duration_since(Instant::now());
    compio::time::sleep(delay.min(left)).await;
    delay < left
}
