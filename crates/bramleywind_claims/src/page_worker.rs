use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::{
    NotAppliedReason, ReadOutcome, Store, StoreKey, StoreVersion, UnavailableReason, WriteOutcome,
};
use bramleywind_types::{RequestKey, UnixDeadline};

use crate::{
    CLAIM_RETENTION, ClaimId, ClaimLink, ClaimPage, ClaimRecord, ClaimState, ClaimTicket,
    MAX_OPEN_PAGE_BYTES, MAX_PAGE_BYTES, UnavailableClaim,
    claim_keeper::KeeperShared,
    keeper_state::LocalState,
    page_job::{ChangeJob, OpenJob, PageJobs, PageReply},
    retry_delay::{MAX_DELAY, RetryDelay},
};

/// The longest delay between attempts while a caller waits for a claim.
const MAX_CALLER_DELAY: Duration = Duration::from_millis(50);

/// The space that a claim takes in a page in addition to the JSON of its record and its key: quotes and commas, in
/// bytes.
const RECORD_OVERHEAD_BYTES: usize = 16;

/// A task that processes the jobs of one page, and ends when there are none left.
pub(crate) struct PageWorker<S, L> {
    shared: Rc<KeeperShared<S, L>>,
    page_key: StoreKey,
    jobs: PageJobs,
    /// The page as this worker last read or wrote it, which saves a read when further jobs follow.
    cached: Option<VersionedPage>,
}

/// A page and its version in the store.
struct VersionedPage {
    version: StoreVersion,
    page: ClaimPage,
}

/// The result of one attempt to process the current jobs.
enum BatchOutcome {
    /// All jobs are done, and the next batch may follow at once.
    Progress,
    /// The store did not confirm the write, or a read was refused or stale. The jobs that are left are retried after a
    /// delay.
    Retry,
    /// The store is unavailable, or the page is invalid. The remaining jobs are retried after a delay, and new claims
    /// are refused until then.
    Outage,
}

/// The action for a job, given the page as it was read.
enum JobPlan {
    /// Send this final reply, without a write.
    Reply(PageReply),
    /// Write this record to the page.
    Write(ClaimRecord),
}

impl<S: Store + 'static, L: ClaimLink + 'static> PageWorker<S, L> {
    pub(crate) fn new(shared: Rc<KeeperShared<S, L>>, page_key: StoreKey) -> Self {
        Self { shared, page_key, jobs: PageJobs::default(), cached: None }
    }

    pub(crate) async fn run(mut self) {
        let mut delay = RetryDelay::default();
        while self.take_jobs() {
            let is_outage = match self.process_batch().await {
                BatchOutcome::Progress => {
                    delay = RetryDelay::default();
                    continue;
                }
                BatchOutcome::Retry => false,
                BatchOutcome::Outage => true,
            };
            self.give_up_expired_opens();
            if self.jobs.is_empty() {
                continue;
            }
            self.set_outage(is_outage);
            let has_waiting_callers = !self.jobs.opens.is_empty();
            let retry_delay =
                delay.next(if has_waiting_callers { MAX_CALLER_DELAY } else { MAX_DELAY });
            compio::time::sleep(retry_delay).await;
            self.set_outage(false);
        }
    }

    /// Takes over the jobs that have arrived. If there are no jobs, removes the queue of the page and returns false.
    fn take_jobs(&mut self) -> bool {
        let mut state = self.shared.state.borrow_mut();
        let Some(queue) = state.queues.get_mut(&self.page_key) else { return false };
        self.jobs.append(std::mem::take(&mut queue.jobs));
        if self.jobs.is_empty() {
            state.queues.remove(&self.page_key);
            return false;
        }
        true
    }

    fn set_outage(&self, is_in_outage: bool) {
        if let Some(queue) = self.shared.state.borrow_mut().queues.get_mut(&self.page_key) {
            queue.is_in_outage = is_in_outage;
        }
    }

    /// Reads the page, applies the current jobs to it, and writes it if it has changed.
    async fn process_batch(&mut self) -> BatchOutcome {
        let VersionedPage { version, mut page } = match self.read_page().await {
            Ok(found) => found,
            Err(outcome) => return outcome,
        };
        page.drop_expired();
        self.record_not_run_claims(&page);
        self.plan_changes(&mut page, version);
        let encoded_bytes = page.encode().len();
        self.plan_opens(&mut page, version, encoded_bytes);
        if self.jobs.is_empty() {
            self.cached = Some(VersionedPage { version, page });
            return BatchOutcome::Progress;
        }
        let value = self.encode_within_limit(&mut page);
        self.shared.state.borrow_mut().stats.writes += 1;
        let written = self.shared.store.write(&self.page_key, value, version).await;
        match written {
            WriteOutcome::Applied(version) => {
                self.shared.state.borrow_mut().raise_min_version(&self.page_key, version);
                self.complete_all(&page);
                self.cached = Some(VersionedPage { version, page });
                BatchOutcome::Progress
            }
            WriteOutcome::Conflict => {
                let mut state = self.shared.state.borrow_mut();
                state.stats.conflicts += 1;
                state.raise_min_version(&self.page_key, StoreVersion(version.0 + 1));
                BatchOutcome::Retry
            }
            WriteOutcome::NotApplied(reason) => self.handle_refused_write(reason),
            WriteOutcome::Unknown => {
                self.shared.state.borrow_mut().stats.unknown_writes += 1;
                for job in &mut self.jobs.opens {
                    job.attempted_version = job.attempted_version.max(Some(version));
                }
                BatchOutcome::Retry
            }
        }
    }

    async fn read_page(&mut self) -> Result<VersionedPage, BatchOutcome> {
        if let Some(cached) = self.cached.take() {
            return Ok(cached);
        }
        self.shared.state.borrow_mut().stats.reads += 1;
        let (version, value) = match self.shared.store.read(&self.page_key).await {
            ReadOutcome::Found(found) => (found.version, Some(found.value)),
            ReadOutcome::Missing => (StoreVersion::MISSING, None),
            ReadOutcome::Unavailable(UnavailableReason::RateLimited) => {
                return Err(BatchOutcome::Retry);
            }
            ReadOutcome::Unavailable(_) => {
                self.give_up_opens(UnavailableClaim::Outage);
                return Err(BatchOutcome::Outage);
            }
        };
        if version < self.shared.state.borrow().min_version(&self.page_key) {
            return Err(BatchOutcome::Retry);
        }
        let page = match value.as_deref().map(ClaimPage::decode) {
            None => ClaimPage::default(),
            Some(Ok(page)) => page,
            Some(Err(_)) => {
                self.shared.state.borrow_mut().stats.page_errors += 1;
                self.give_up_opens(UnavailableClaim::Outage);
                return Err(BatchOutcome::Outage);
            }
        };
        self.shared.state.borrow_mut().raise_min_version(&self.page_key, version);
        Ok(VersionedPage { version, page })
    }

    /// Remembers the `not_run` claims of a page, so that requests which arrive from now on may replace them.
    fn record_not_run_claims(&self, page: &ClaimPage) {
        let mut state = self.shared.state.borrow_mut();
        for (workspace, claims) in &page.claims {
            for (key, record) in claims {
                if record.state == ClaimState::NotRun {
                    let key = RequestKey { workspace: workspace.clone(), key: key.clone() };
                    state.record_not_run(&key, record.id());
                }
            }
        }
    }

    fn plan_changes(&mut self, page: &mut ClaimPage, version: StoreVersion) {
        let jobs = std::mem::take(&mut self.jobs.changes);
        for job in jobs {
            if apply_change(&job, page, version, &self.shared.holder.instance) {
                self.jobs.changes.push(job);
            } else {
                self.complete_change(job);
            }
        }
    }

    fn plan_opens(&mut self, page: &mut ClaimPage, version: StoreVersion, page_bytes: usize) {
        let mut page_bytes = page_bytes;
        let jobs = std::mem::take(&mut self.jobs.opens);
        for mut job in jobs {
            // The page is at a later version, so the write can no longer be applied.
            if job.attempted_version.is_some_and(|attempted_version| attempted_version < version) {
                job.attempted_version = None;
            }
            match self.plan_open(&job, page) {
                JobPlan::Reply(reply) => self.reply(job, reply),
                JobPlan::Write(record) => {
                    page_bytes += serde_json::to_vec(&record).map_or(0, |json| json.len())
                        + job.key.to_string().len()
                        + RECORD_OVERHEAD_BYTES;
                    if page_bytes > MAX_OPEN_PAGE_BYTES {
                        self.give_up(job, UnavailableClaim::PageFull);
                        continue;
                    }
                    page.insert(&job.key, record);
                    self.jobs.opens.push(job);
                }
            }
        }
    }

    fn plan_open(&self, job: &OpenJob, page: &ClaimPage) -> JobPlan {
        let new_record = |state| ClaimRecord {
            body_hash: job.body_hash,
            holder: self.shared.holder.clone(),
            sequence: job.id.sequence,
            state,
            keep_until_ms: UnixDeadline::after(CLAIM_RETENTION),
        };
        match page.get(&job.key) {
            None => JobPlan::Write(new_record(ClaimState::Open)),
            Some(record) if record.id() == job.id => match record.state {
                ClaimState::NotRun => JobPlan::Reply(PageReply::NotRun),
                _ => JobPlan::Reply(PageReply::Opened(self.ticket(&job.key, job.id))),
            },
            Some(record) if record.body_hash != job.body_hash => {
                JobPlan::Reply(PageReply::Mismatch)
            }
            Some(record) => match record.state {
                ClaimState::NotRun if job.known_not_run == Some(record.id()) => {
                    JobPlan::Write(new_record(ClaimState::Open))
                }
                // The read may be stale, and a later copy may have opened a claim since. Only a successful write
                // proves that the key is still closed. It also closes the key to all copies that arrived before.
                ClaimState::NotRun => JobPlan::Write(new_record(ClaimState::NotRun)),
                _ => JobPlan::Reply(PageReply::Existing(Box::new(record.clone()))),
            },
        }
    }

    /// Encodes the page. If it is too large, replaces the outcomes of this batch by `unknown`.
    fn encode_within_limit(&mut self, page: &mut ClaimPage) -> Vec<u8> {
        let value = page.encode();
        if value.len() <= MAX_PAGE_BYTES {
            return value;
        }
        self.drop_outcomes();
        for job in &self.jobs.changes {
            if let Some(record) = page.get_mut(&job.key).filter(|record| record.id() == job.id) {
                record.state = job.state.clone();
            }
        }
        page.encode()
    }

    fn drop_outcomes(&mut self) {
        for job in &mut self.jobs.changes {
            if matches!(job.state, ClaimState::Done(_)) {
                job.state = ClaimState::Unknown;
            }
        }
    }

    fn handle_refused_write(&mut self, reason: NotAppliedReason) -> BatchOutcome {
        match reason {
            NotAppliedReason::RateLimited => BatchOutcome::Retry,
            NotAppliedReason::Outage => {
                self.give_up_opens(UnavailableClaim::Outage);
                BatchOutcome::Outage
            }
            NotAppliedReason::TooLarge => {
                self.give_up_opens(UnavailableClaim::PageFull);
                self.drop_outcomes();
                BatchOutcome::Retry
            }
        }
    }

    /// Completes all jobs after the page that contains them was stored.
    fn complete_all(&mut self, page: &ClaimPage) {
        self.record_not_run_claims(page);
        let jobs = std::mem::take(&mut self.jobs);
        for job in jobs.changes {
            self.complete_change(job);
        }
        for job in jobs.opens {
            let is_open = page.get(&job.key).is_some_and(|record| record.state == ClaimState::Open);
            let reply = if is_open {
                PageReply::Opened(self.ticket(&job.key, job.id))
            } else {
                PageReply::NotRun
            };
            self.reply(job, reply);
        }
    }

    fn complete_change(&self, job: ChangeJob) {
        self.shared.state.borrow_mut().forget_local(&job.key, job.id);
        if let Some(stored) = job.stored {
            // Fails if the caller no longer waits, which is harmless.
            let _ = stored.send(());
        }
    }

    fn ticket(&self, key: &RequestKey, id: ClaimId) -> ClaimTicket {
        ClaimTicket::new(key.clone(), id, self.shared.abandoned_sender.clone())
    }

    fn reply(&self, job: OpenJob, reply: PageReply) {
        {
            let mut state = self.shared.state.borrow_mut();
            match &reply {
                PageReply::Opened(_) => {
                    state.stats.opened += 1;
                    state.set_local(&job.key, job.id, LocalState::Open);
                }
                _ => state.forget_local(&job.key, job.id),
            }
        }
        // If the caller is gone, the ticket in the reply is dropped, which closes the claim.
        drop(job.reply.send(reply));
    }

    fn give_up_expired_opens(&mut self) {
        let now = Instant::now();
        let is_expired = |job: &OpenJob| job.deadline <= now || job.reply.is_canceled();
        let jobs = std::mem::take(&mut self.jobs.opens);
        for job in jobs {
            if is_expired(&job) {
                self.give_up(job, UnavailableClaim::Timeout);
            } else {
                self.jobs.opens.push(job);
            }
        }
    }

    fn give_up_opens(&mut self, reason: UnavailableClaim) {
        for job in std::mem::take(&mut self.jobs.opens) {
            self.give_up(job, reason);
        }
    }

    /// Gives up opening a claim. If it may have been written, it is closed in the background.
    fn give_up(&mut self, job: OpenJob, reason: UnavailableClaim) {
        if job.attempted_version.is_none() {
            self.reply(job, PageReply::Unavailable(reason));
            return;
        }
        self.shared.state.borrow_mut().set_local(&job.key, job.id, LocalState::Closing);
        self.jobs.changes.push(job.closing_change());
        drop(job.reply.send(PageReply::Unavailable(UnavailableClaim::Unresolved)));
    }
}

/// Applies a change to a page. Returns false if there is nothing to write.
fn apply_change(
    job: &ChangeJob,
    page: &mut ClaimPage,
    version: StoreVersion,
    instance: &bramleywind_types::InstanceId,
) -> bool {
    if let Some(record) = page.get_mut(&job.key).filter(|record| record.id() == job.id) {
        if record.state != ClaimState::Open {
            return false;
        }
        record.state = job.state.clone();
        return true;
    }
    // The write that opens the claim expected this version and may still be applied, unless another write to the page
    // is applied first.
    let may_still_apply =
        job.attempted_version.is_some_and(|attempted_version| attempted_version >= version);
    if may_still_apply {
        let holder = crate::ClaimHolder { instance: instance.clone(), run: job.id.run };
        let record = ClaimRecord {
            body_hash: job.body_hash,
            holder,
            sequence: job.id.sequence,
            state: job.state.clone(),
            keep_until_ms: UnixDeadline::after(CLAIM_RETENTION),
        };
        page.insert(&job.key, record);
    }
    may_still_apply
}
