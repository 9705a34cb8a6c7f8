//! Seals a dead or superseded incarnation and closes its slices (rules R3 and R4).

use std::collections::BTreeSet;

use bramleywind_store::{ListOutcome, ReadOutcome, Store, StoreKey, WriteOutcome};
use bramleywind_types::{IncarnationId, InstanceId};
use futures_util::future::join_all;

use super::{TokenLedger, ledger_state::LedgerState, reclaim_task::ClosingReport};
use crate::{
    BudgetPage, JournalLink, MemberRecord, ReclaimObstacle, SealOutcome, SealReport, WitnessId,
};

/// The number of times that the member record is read, since a write conflict or a lost answer needs
/// another read.
const MAX_ATTEMPTS: usize = 8;
/// The number of attempts after which a reclaim is dropped if its obstacle does not go away with time. The
/// slices are left unchanged.
const MAX_PERMANENT_FAILURES: u64 = 5;

impl<S: Store, L: JournalLink> TokenLedger<S, L> {
    /// Runs one attempt of a reclaim and schedules a retry if it fails.
    pub(super) async fn reclaim_incarnation(&self, incarnation: IncarnationId) {
        let outcome = self.try_reclaim(incarnation).await;
        {
            let mut state = self.state();
            let (now, jitter) = (state.now(), state.jitter());
            match outcome {
                Ok(()) => {
                    state.reclaims.remove(&incarnation);
                    if let Some(closing) = state.closing.get_mut(&incarnation) {
                        closing.closed_at.get_or_insert(now);
                    }
                }
                Err(obstacle) => {
                    if let Some(task) = state.reclaims.get_mut(&incarnation) {
                        task.in_flight = false;
                        task.attempts += 1;
                        task.obstacle = Some(obstacle);
                        task.retry.record_failure(now, jitter);
                        let is_permanent = matches!(
                            obstacle,
                            ReclaimObstacle::UnknownIncarnation
                                | ReclaimObstacle::NoWitnesses
                                | ReclaimObstacle::WitnessLost
                        );
                        if is_permanent && task.attempts >= MAX_PERMANENT_FAILURES {
                            state.reclaims.remove(&incarnation);
                        }
                    }
                }
            }
        }
        self.notify_all();
    }

    async fn try_reclaim(&self, incarnation: IncarnationId) -> Result<(), ReclaimObstacle> {
        let (instance, known_report) = {
            let state = self.state();
            let Some(task) = state.reclaims.get(&incarnation) else { return Ok(()) };
            (task.instance.clone(), task.report.clone())
        };
        let report = match known_report {
            Some(report) => report,
            None => {
                let witnesses = self.seal_record(&instance, incarnation).await?;
                self.seal_witnesses(&witnesses, incarnation).await?
            }
        };
        {
            let mut state = self.state();
            if let Some(task) = state.reclaims.get_mut(&incarnation) {
                task.report = Some(report.clone());
            }
            state.closing.entry(incarnation).or_insert(ClosingReport {
                instance,
                report,
                closed_at: None,
                rescans_done: 0,
            });
        }
        self.close_slices(incarnation).await
    }

    /// Marks the member record as sealed, which makes its list of witnesses final, and returns the list.
    async fn seal_record(
        &self,
        instance: &InstanceId,
        incarnation: IncarnationId,
    ) -> Result<Vec<WitnessId>, ReclaimObstacle> {
        if let Some(task) = self.state().reclaims.get(&incarnation)
            && let Some(witnesses) = &task.witnesses
        {
            return Ok(witnesses.clone());
        }
        let key = StoreKey::member(instance);
        for _ in 0..MAX_ATTEMPTS {
            self.state().store_reads += 1;
            let found = match self.shared.store.read(&key).await {
                ReadOutcome::Found(found) => found,
                ReadOutcome::Missing => return Err(ReclaimObstacle::UnknownIncarnation),
                ReadOutcome::Unavailable(_) => return Err(ReclaimObstacle::StoreUnavailable),
            };
            let mut record = MemberRecord::from_bytes(&found.value)
                .map_err(|_| ReclaimObstacle::StoreUnavailable)?;
            if let Some(witnesses) = record.final_witnesses(incarnation) {
                let mut state = self.state();
                if let Some(task) = state.reclaims.get_mut(&incarnation) {
                    task.witnesses = Some(witnesses.to_vec());
                }
                return Ok(witnesses.to_vec());
            }
            if record.incarnation != incarnation {
                return Err(ReclaimObstacle::UnknownIncarnation);
            }
            // A holder without witnesses can't be stopped, so its record is left unchanged.
            if record.witnesses.is_empty() {
                return Err(ReclaimObstacle::NoWitnesses);
            }
            record.sealed = true;
            self.state().store_writes += 1;
            // The record counts as sealed only once a later read shows it, whatever the outcome of this
            // write. A write that takes effect late does no harm, since the holder then takes a new
            // incarnation.
            if let WriteOutcome::NotApplied(_) =
                self.shared.store.write(&key, record.to_bytes(), found.version).await
            {
                return Err(ReclaimObstacle::StoreUnavailable);
            }
        }
        Err(ReclaimObstacle::StoreUnavailable)
    }

    /// Seals the incarnation at all of its witnesses and returns their report. A witness that does not
    /// answer may still acknowledge reservations of a holder on its side of a partition, so every one must
    /// answer.
    async fn seal_witnesses(
        &self,
        witnesses: &[WitnessId],
        incarnation: IncarnationId,
    ) -> Result<SealReport, ReclaimObstacle> {
        let seal = async |witness: &WitnessId| {
            if witness == self.state().witness_store.id() {
                return self.handle_seal(witness, incarnation);
            }
            self.shared.link.seal(witness, incarnation).await
        };
        let mut journals = Vec::new();
        let mut obstacle = None;
        for outcome in join_all(witnesses.iter().map(seal)).await {
            match outcome {
                SealOutcome::Sealed(journal) if journal.incarnation == incarnation => {
                    journals.push(journal);
                }
                SealOutcome::WrongRun => obstacle = Some(ReclaimObstacle::WitnessLost),
                SealOutcome::Sealed(_) | SealOutcome::Unreachable => {
                    obstacle.get_or_insert(ReclaimObstacle::WitnessUnreachable);
                }
            }
        }
        match obstacle {
            Some(obstacle) => Err(obstacle),
            None => SealReport::from_journals(journals).ok_or(ReclaimObstacle::NoWitnesses),
        }
    }

    /// Closes the slices of the incarnation on all pages that have one. A page that the listing returns in
    /// an outdated version is found by a later scan.
    async fn close_slices(&self, incarnation: IncarnationId) -> Result<(), ReclaimObstacle> {
        self.state().store_reads += 1;
        let ListOutcome::Found(pages) = self.shared.store.list(StoreKey::BUDGETS).await else {
            return Err(ReclaimObstacle::StoreUnavailable);
        };
        let listed = pages.into_iter().filter_map(|page| {
            let content = BudgetPage::from_bytes(&page.entry.value).ok()?;
            content.has_slice(incarnation).then_some(page.key)
        });
        let (keys, failures) = {
            let mut state = self.state();
            let keys: BTreeSet<StoreKey> =
                listed.chain(state.cached_pages_with_slice(incarnation)).collect();
            for key in &keys {
                state.page(key).pending_closes.insert(incarnation);
                state.page_queue.insert(key.clone());
            }
            let failures = state.failed_updates(&keys);
            (keys, failures)
        };
        self.notify_all();
        loop {
            let generation = self.core.changed.generation();
            {
                let mut state = self.state();
                let is_open = |key: &StoreKey| {
                    state
                        .pages
                        .get(key)
                        .is_some_and(|page| page.pending_closes.contains(&incarnation))
                };
                if !keys.iter().any(is_open) {
                    return Ok(());
                }
                if state.failed_updates(&keys) > failures {
                    return Err(ReclaimObstacle::StoreUnavailable);
                }
            }
            self.core.changed.changed(generation).await;
        }
    }
}

impl LedgerState {
    pub(super) fn take_due_reclaims(&mut self) -> Vec<IncarnationId> {
        let now = self.now();
        let mut due = Vec::new();
        for (incarnation, task) in &mut self.reclaims {
            if !task.in_flight && task.retry.is_due(now) {
                task.in_flight = true;
                due.push(*incarnation);
            }
        }
        due
    }

    fn cached_pages_with_slice(&self, incarnation: IncarnationId) -> Vec<StoreKey> {
        let has_slice = |page: &super::page_state::PageState| {
            page.cached.as_ref().is_some_and(|(_, page)| page.has_slice(incarnation))
        };
        let pages = self.pages.iter().filter(|(_, page)| has_slice(page));
        pages.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the number of failed updates of all `keys` together.
    fn failed_updates(&mut self, keys: &BTreeSet<StoreKey>) -> u64 {
        keys.iter().map(|key| self.page(key).failed_updates).sum()
    }
}
