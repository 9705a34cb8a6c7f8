//! Seals a dead or superseded incarnation and closes its slices (rules R3 and R4).

use std::collections::BTreeSet;

use bramleywind_store::{ListOutcome, ReadOutcome, Store, StoreKey, WriteOutcome};
use bramleywind_types::{IncarnationId, InstanceId};
use futures_util::future::join_all;

use super::{FundsKeeper, keeper_state::KeeperState, reclaim_task::ClosingReport};
use crate::{
    BudgetPage, JournalLink, MemberRecord, ReclaimObstacle, SealOutcome, SealReport, WitnessId,
};

/// How often the member record is read again after a lost race or a lost answer.
const MAX_ATTEMPTS: usize = 8;
/// After so many attempts a reclaim that can't end by waiting is dropped. The slices stay as they are.
const MAX_HOPELESS_ATTEMPTS: u64 = 5;

impl<S: Store, L: JournalLink> FundsKeeper<S, L> {
    pub(super) async fn reclaim_round(&self, incarnation: IncarnationId) {
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
                        let is_hopeless = matches!(
                            obstacle,
                            ReclaimObstacle::UnknownIncarnation
                                | ReclaimObstacle::NoWitnesses
                                | ReclaimObstacle::WitnessLost
                        );
                        if is_hopeless && task.attempts >= MAX_HOPELESS_ATTEMPTS {
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
                rescans: 0,
            });
        }
        self.close_slices(incarnation).await
    }

    /// Marks the member record as sealed, so that its list of witnesses is final, and returns the list.
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
            // Nothing can stop a holder without witnesses, so its record is left to it.
            if record.witnesses.is_empty() {
                return Err(ReclaimObstacle::NoWitnesses);
            }
            record.sealed = true;
            self.state().store_writes += 1;
            // Only a later read that shows the mark counts, whatever this write came to. A mark that takes
            // effect late does no harm: its holder takes a new incarnation.
            if let WriteOutcome::NotApplied(_) =
                self.shared.store.write(&key, record.to_bytes(), found.version).await
            {
                return Err(ReclaimObstacle::StoreUnavailable);
            }
        }
        Err(ReclaimObstacle::StoreUnavailable)
    }

    /// Seals the incarnation at all of its witnesses. One that does not answer may still acknowledge
    /// reservations of a holder on its side of a partition, so without it there is no report.
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

    /// Closes the slices on all pages that show some. A page that the listing shows too old is found by a
    /// later look.
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
                state.page(key).closes.insert(incarnation);
                state.page_queue.insert(key.clone());
            }
            let failures = state.failed_rounds(&keys);
            (keys, failures)
        };
        self.notify_all();
        loop {
            let generation = self.core.changed.generation();
            {
                let mut state = self.state();
                let is_open = |key: &StoreKey| {
                    state.pages.get(key).is_some_and(|page| page.closes.contains(&incarnation))
                };
                if !keys.iter().any(is_open) {
                    return Ok(());
                }
                if state.failed_rounds(&keys) > failures {
                    return Err(ReclaimObstacle::StoreUnavailable);
                }
            }
            self.core.changed.changed(generation).await;
        }
    }
}

impl KeeperState {
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

    fn failed_rounds(&mut self, keys: &BTreeSet<StoreKey>) -> u64 {
        keys.iter().map(|key| self.page(key).failed_rounds).sum()
    }
}
