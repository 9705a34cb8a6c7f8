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

/// How often a copy looks whether an earlier copy in this process has ended.
const LOCAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How often a copy asks another router whether an earlier copy has ended.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps non-idempotent requests from running twice, by a durable claim of each request's key.
///
/// A clone is another handle of the same keeper. Claims that wait for the same page share one compare-and-swap,
/// and there is one write at a time for each page. Writes run in tasks of their own, so that a caller that
/// disconnects never leaves a write without somebody who learns its result.
#[derive(Debug)]
pub struct ClaimKeeper<S, L> {
    shared: Rc<KeeperShared<S, L>>,
}

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
    /// A keeper for this process. `holder` names the process run and must not be used by another keeper.
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

    /// Closes claims whose ticket was dropped. Runs until the task that polls it is dropped; to be spawned
    /// once, when the process starts.
    pub async fn maintain(&self) {
        while let Ok(claim) = self.shared.abandoned_receiver.recv().await {
            let state = if claim.has_begun { ClaimState::Unknown } else { ClaimState::NotRun };
            self.enqueue_change(&claim.key, claim.id, state, None);
        }
    }

    /// Opens the claim of a request. Waits for an earlier copy up to `deadline`.
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
                // The page worker answers these itself.
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
                // The holder forgets a claim once its last change is stored, and the read may have been stale.
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

    /// Records the outcome of a claimed request in the background. Bodies over [`MAX_CLAIM_BODY_BYTES`] are not
    /// kept: repeats of such a request are told that it may have run.
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

    /// Closes a claim whose request certainly did not run: it was never sent, or no byte of it reached the
    /// endpoint, or the endpoint refused it before running it. Only after [`CloseOutcome::Stored`] may the
    /// caller be told `not_run`; after [`CloseOutcome::Pending`] it gets `may_have_run`, same key.
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

    /// Answers another router that asks about a claim of this process.
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

    /// Waits until the last changes of all claims are stored. Tickets must have been ended before.
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

    /// The counters.
    pub fn stats(&self) -> ClaimStats {
        let state = self.shared.state.borrow();
        ClaimStats { live: state.local_claims.len() as u64, ..state.stats }
    }

    /// Waits while this process has a claim of the key. Nothing if the page is to be asked.
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
        // The worker answers every job; it ends without only when the runtime does.
        receiver.await.unwrap_or(PageReply::Unavailable(UnavailableClaim::Unresolved))
    }

    /// Asks a holder until its answer is not `Running`, or the deadline has passed.
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

    /// The queue of a page, with a worker.
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

/// Sleeps for `delay`. False if the deadline has passed or would pass, in which case it does not sleep longer
/// than the deadline.
async fn sleep_before(deadline: Instant, delay: Duration) -> bool {
    let left = deadline.saturating_duration_since(Instant::now());
    compio::time::sleep(delay.min(left)).await;
    delay < left
}
