//! Updates the member record: registers an incarnation and replaces lost witnesses (rules R2 and R6).

use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::{IncarnationId, JournalSequence};
use futures_util::future::join_all;
use xxhash_rust::xxh3::xxh3_64;

use super::{TokenLedger, ledger_state::LedgerState, reclaim_task::ReclaimTask};
use crate::{AppendOutcome, JournalLink, MemberRecord, PeerRecord, WitnessId};

/// The number of witnesses of an incarnation, if there are enough peers.
const WITNESS_COUNT: usize = 2;
/// The number of attempts of one update, which starts again after a write conflict, a lost answer, a stale
/// read or a witness that does not answer.
const MAX_ATTEMPTS: usize = 8;

/// The store did not answer or returned an unreadable record, or all attempts were used up because the
/// chosen witnesses did not answer or other writes came first.
struct MembershipUpdateError;

impl<S: Store, L: JournalLink> TokenLedger<S, L> {
    /// Updates the member record and schedules a retry if that fails.
    pub(super) async fn update_membership(&self) {
        let outcome = self.try_update_membership().await;
        {
            let mut state = self.state();
            let (now, jitter) = (state.now(), state.jitter());
            let membership = &mut state.membership;
            membership.in_flight = false;
            membership.attempts += 1;
            match outcome {
                Ok(()) => {
                    membership.update_needed = false;
                    membership.retry.record_success();
                }
                Err(MembershipUpdateError) => membership.retry.record_failure(now, jitter),
            }
        }
        self.notify_all();
    }

    async fn try_update_membership(&self) -> Result<(), MembershipUpdateError> {
        let key = StoreKey::member(&self.state().settings.instance);
        for _ in 0..MAX_ATTEMPTS {
            let Some((version, found)) = self.load_own_record(&key).await? else { continue };
            let (incarnation, end) = {
                let mut state = self.state();
                if state.is_sealed_by(found.as_ref()) {
                    state.abandon_incarnation();
                    continue;
                }
                if state.adopt_record(found.as_ref(), version) {
                    return Ok(());
                }
                // The witnesses of an uncertain write stay proposed, since it may still take effect.
                if state.witnesses.proposed.is_none() || !state.membership.registered {
                    state.witnesses.proposed = Some(state.choose_witnesses());
                }
                (state.incarnation, state.journal.next_sequence())
            };
            let is_prepared = self.prepare_witnesses(end).await;
            let (record, earlier_uncertain_write) = {
                let mut state = self.state();
                if state.incarnation != incarnation {
                    continue;
                }
                let mut record = state.record_to_write(found.as_ref());
                if !is_prepared {
                    if state.membership.uncertain_write.is_none() || !state.membership.registered {
                        state.witnesses.proposed = None;
                        continue;
                    }
                    // Only another write can fence the uncertain one. The current witnesses cover the
                    // journal at all times, so their list may be written again.
                    record.witnesses.clone_from(&state.witnesses.current);
                }
                state.store_writes += 1;
                (record, state.membership.uncertain_write.replace(version))
            };
            let outcome = self.shared.store.write(&key, record.to_bytes(), version).await;
            let mut state = self.state();
            match outcome {
                WriteOutcome::Applied(written) => {
                    state.membership.uncertain_write = None;
                    state.membership.min_version = written;
                    state.membership.record = Some((written, record));
                }
                WriteOutcome::Conflict => {
                    state.membership.uncertain_write = earlier_uncertain_write;
                    state.membership.record = None;
                    let known = state.membership.min_version.max(StoreVersion(version.0 + 1));
                    state.membership.min_version = known;
                }
                WriteOutcome::NotApplied(_) => {
                    state.membership.uncertain_write = earlier_uncertain_write;
                    if earlier_uncertain_write.is_none() && state.incarnation == incarnation {
                        state.witnesses.proposed = None;
                    }
                    return Err(MembershipUpdateError);
                }
                WriteOutcome::Unknown => state.membership.record = None,
            }
        }
        Err(MembershipUpdateError)
    }

    /// Returns the router's own record, cached or read, with its version, or `None` if the read was stale.
    async fn load_own_record(
        &self,
        key: &StoreKey,
    ) -> Result<Option<(StoreVersion, Option<MemberRecord>)>, MembershipUpdateError> {
        if let Some((version, record)) = self.state().membership.record.clone() {
            return Ok(Some((version, Some(record))));
        }
        self.state().store_reads += 1;
        let (version, record) = match self.shared.store.read(key).await {
            ReadOutcome::Found(found) => {
                let record =
                    MemberRecord::from_bytes(&found.value).map_err(|_| MembershipUpdateError)?;
                (found.version, Some(record))
            }
            ReadOutcome::Missing => (StoreVersion::MISSING, None),
            ReadOutcome::Unavailable(_) => return Err(MembershipUpdateError),
        };
        let mut state = self.state();
        if version < state.membership.min_version {
            return Ok(None);
        }
        state.membership.min_version = version;
        if state.membership.uncertain_write.is_some_and(|expected| version > expected) {
            state.membership.uncertain_write = None;
        }
        state.membership.record = record.clone().map(|record| (version, record));
        Ok(Some((version, record)))
    }

    /// Sends the journal up to `end` to the proposed witnesses that lack entries. Returns whether every
    /// new witness, and at least one of all, has acknowledged the entries; one that is kept may lag
    /// behind.
    async fn prepare_witnesses(&self, end: JournalSequence) -> bool {
        let (incarnation, snapshot, lagging) = {
            let mut state = self.state();
            let proposed = state.witnesses.proposed.clone().unwrap_or_default();
            let lacks_entries = |witness: &WitnessId, state: &mut LedgerState| {
                let progress = state.witnesses.progress_mut(witness);
                !progress.has_answered || progress.acked < end
            };
            let lagging: Vec<WitnessId> =
                proposed.into_iter().filter(|witness| lacks_entries(witness, &mut state)).collect();
            (state.incarnation, state.journal.snapshot().clone(), lagging)
        };
        let send = |witness| self.shared.link.snapshot(witness, &snapshot);
        let outcomes = join_all(lagging.iter().map(send)).await;
        let mut state = self.state();
        for (witness, outcome) in lagging.iter().zip(outcomes) {
            if state.incarnation != incarnation {
                return false;
            }
            if matches!(outcome, AppendOutcome::Unreachable) {
                state.witnesses.progress_mut(witness).missed_proposal = true;
            }
            state.handle_append_outcome(witness, snapshot.next, outcome);
        }
        if state.incarnation != incarnation {
            return false;
        }
        let proposed = state.witnesses.proposed.clone().unwrap_or_default();
        let current = state.witnesses.current.clone();
        let has_all = |witness: &WitnessId| {
            state
                .witnesses
                .progress
                .get(witness)
                .is_some_and(|progress| progress.has_answered && progress.acked >= end)
        };
        let new_ones_have_all =
            proposed.iter().all(|witness| current.contains(witness) || has_all(witness));
        new_ones_have_all && (proposed.is_empty() || proposed.iter().any(has_all))
    }
}

impl LedgerState {
    /// Returns whether a membership update is due, and marks it as in flight.
    pub(super) fn take_due_membership(&mut self) -> bool {
        let now = self.now();
        let is_needed = self.membership.started && self.membership.update_needed;
        let is_due = is_needed && !self.membership.in_flight && self.membership.retry.is_due(now);
        self.membership.in_flight |= is_due;
        is_due
    }

    /// Requests a membership update if the record needs a change.
    pub(super) fn check_membership(&mut self) {
        let needs_update = !self.membership.registered
            || self.membership.uncertain_write.is_some()
            || !self.closed_superseded().is_empty()
            || self.choose_witnesses() != self.witnesses.current;
        self.membership.update_needed |= needs_update && !self.stopping;
    }

    /// Reports whether a record shows that this incarnation may no longer change it.
    fn is_sealed_by(&self, found: Option<&MemberRecord>) -> bool {
        let Some(record) = found else { return false };
        let is_ours = record.incarnation == self.incarnation;
        let is_superseded = record.superseded.contains_key(&self.incarnation);
        (is_ours && record.sealed) || is_superseded || (!is_ours && self.membership.registered)
    }

    /// Adopts a record that names this incarnation and that no uncertain write of this router can replace.
    /// Returns whether the record was adopted and needs no change.
    fn adopt_record(&mut self, found: Option<&MemberRecord>, version: StoreVersion) -> bool {
        let Some(record) = found.filter(|record| record.incarnation == self.incarnation) else {
            return false;
        };
        if self.membership.uncertain_write.is_some_and(|expected| version <= expected) {
            return false;
        }
        self.membership.uncertain_write = None;
        self.witnesses.current.clone_from(&record.witnesses);
        self.witnesses.proposed = None;
        let is_first = !std::mem::replace(&mut self.membership.registered, true);
        if is_first {
            let instance = self.settings.instance.clone();
            for (incarnation, witnesses) in &record.superseded {
                let mut task = ReclaimTask::new(instance.clone());
                task.witnesses = Some(witnesses.clone());
                self.reclaims.entry(*incarnation).or_insert(task);
            }
            let keys = self.grant_requests.values().map(|request| request.page.clone());
            self.page_queue.extend(keys);
        }
        self.closed_superseded().is_empty() && self.choose_witnesses() == self.witnesses.current
    }

    /// Returns the record to write after `found`, with the proposed witnesses.
    fn record_to_write(&self, found: Option<&MemberRecord>) -> MemberRecord {
        let mut superseded = found.map(|record| record.superseded.clone()).unwrap_or_default();
        if let Some(record) = found.filter(|record| record.incarnation != self.incarnation) {
            superseded.insert(record.incarnation, record.witnesses.clone());
        }
        superseded
            .retain(|incarnation, _| !self.membership.closed_incarnations.contains(incarnation));
        MemberRecord {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            run: self.run,
            data_centre: self.settings.data_centre.clone(),
            witnesses: self.witnesses.proposed.clone().unwrap_or_default(),
            sealed: false,
            superseded,
        }
    }

    /// Returns the superseded incarnations of the record whose slices are all closed.
    fn closed_superseded(&self) -> Vec<IncarnationId> {
        let Some((_, record)) = &self.membership.record else { return Vec::new() };
        let closed_incarnations = &self.membership.closed_incarnations;
        let superseded = record.superseded.keys();
        superseded
            .filter(|incarnation| closed_incarnations.contains(incarnation))
            .copied()
            .collect()
    }

    /// Chooses the witnesses: keeps the usable ones and adds peers, one of the same data centre and one of
    /// another if possible. Rendezvous hashing spreads the routers over the peers.
    ///
    /// Without any peer the list is empty. With peers, the last witness is never dropped without a
    /// replacement, since a router without a witness can't be reclaimed.
    fn choose_witnesses(&self) -> Vec<WitnessId> {
        let now = self.now();
        let find = |witness: &WitnessId| {
            let is_same = |peer: &&PeerRecord| peer.witness == *witness && !peer.leaving;
            self.peers.iter().find(is_same)
        };
        let current = self.witnesses.current.iter();
        let mut chosen: Vec<&PeerRecord> = current
            .filter(|witness| self.witnesses.is_usable(witness, now))
            .filter_map(find)
            .collect();
        let mut candidates: Vec<&PeerRecord> = self
            .peers
            .iter()
            .filter(|peer| !peer.leaving && *peer.instance() != self.settings.instance)
            .filter(|peer| self.witnesses.is_eligible(&peer.witness, now))
            .collect();
        let own = self.settings.instance.as_str();
        candidates.sort_by_key(|peer| xxh3_64(format!("{own} {}", peer.instance()).as_bytes()));
        let is_local = |peer: &PeerRecord| peer.data_centre == self.settings.data_centre;
        while chosen.len() < WITNESS_COUNT {
            candidates.retain(|peer| !chosen.iter().any(|other| other.witness == peer.witness));
            let has_local = chosen.iter().any(|peer| is_local(peer));
            let has_remote = chosen.iter().any(|peer| !is_local(peer));
            let fits = |peer: &&&PeerRecord| if is_local(peer) { !has_local } else { !has_remote };
            let Some(best) = candidates.iter().find(fits).or(candidates.first()) else { break };
            chosen.push(best);
        }
        if chosen.is_empty() && !self.peers.is_empty() {
            return self.witnesses.current.clone();
        }
        chosen.into_iter().map(|peer| peer.witness.clone()).collect()
    }
}
