//! Writes the member record: registers an incarnation and replaces lost witnesses (rules R2 and R6).

use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::{IncarnationId, JournalSequence};
use futures_util::future::join_all;
use xxhash_rust::xxh3::xxh3_64;

use super::{FundsKeeper, keeper_state::KeeperState, reclaim_task::ReclaimTask};
use crate::{AppendOutcome, JournalLink, MemberRecord, PeerRecord, WitnessId};

/// How many witnesses an incarnation has if there are enough peers.
const WITNESS_COUNT: usize = 2;
/// How often one round begins again after a lost race or a witness that does not answer.
const MAX_ATTEMPTS: usize = 8;

/// The store did not answer, or no chosen witness did.
struct MembershipFailed;

impl<S: Store, L: JournalLink> FundsKeeper<S, L> {
    pub(super) async fn membership_round(&self) {
        let outcome = self.try_membership_round().await;
        {
            let mut state = self.state();
            let (now, jitter) = (state.now(), state.jitter());
            let membership = &mut state.membership;
            membership.in_flight = false;
            membership.attempts += 1;
            match outcome {
                Ok(()) => {
                    membership.wanted = false;
                    membership.retry.record_success();
                }
                Err(MembershipFailed) => membership.retry.record_failure(now, jitter),
            }
        }
        self.notify_all();
    }

    async fn try_membership_round(&self) -> Result<(), MembershipFailed> {
        let key = StoreKey::member(&self.state().settings.instance);
        for _ in 0..MAX_ATTEMPTS {
            let Some((version, found)) = self.own_record(&key).await? else { continue };
            let (incarnation, end) = {
                let mut state = self.state();
                if state.learns_of_seal(found.as_ref()) {
                    state.become_sealed();
                    continue;
                }
                if state.take_over_record(found.as_ref(), version) {
                    return Ok(());
                }
                // While a write is in doubt, its witnesses stay proposed: it may still take effect.
                if state.witnesses.proposed.is_none() || !state.membership.registered {
                    state.witnesses.proposed = Some(state.choose_witnesses());
                }
                (state.incarnation, state.journal.next_sequence())
            };
            let is_prepared = self.prepare_witnesses(end).await;
            let (record, had_doubt) = {
                let mut state = self.state();
                if state.incarnation != incarnation {
                    continue;
                }
                let mut record = state.record_to_write(found.as_ref());
                if !is_prepared {
                    if state.membership.doubt.is_none() || !state.membership.registered {
                        state.witnesses.proposed = None;
                        continue;
                    }
                    // The earlier write can be fenced only by another one. The current witnesses cover
                    // the journal at all times, so their list may be written again.
                    record.witnesses.clone_from(&state.witnesses.current);
                }
                state.store_writes += 1;
                (record, state.membership.doubt.replace(version))
            };
            let outcome = self.shared.store.write(&key, record.to_bytes(), version).await;
            let mut state = self.state();
            match outcome {
                WriteOutcome::Applied(written) => {
                    state.membership.doubt = None;
                    state.membership.known = written;
                    state.membership.record = Some((written, record));
                }
                WriteOutcome::Conflict => {
                    state.membership.doubt = had_doubt;
                    state.membership.record = None;
                    let known = state.membership.known.max(StoreVersion(version.0 + 1));
                    state.membership.known = known;
                }
                WriteOutcome::NotApplied(_) => {
                    state.membership.doubt = had_doubt;
                    if had_doubt.is_none() && state.incarnation == incarnation {
                        state.witnesses.proposed = None;
                    }
                    return Err(MembershipFailed);
                }
                WriteOutcome::Unknown => state.membership.record = None,
            }
        }
        Err(MembershipFailed)
    }

    /// The own record as cached or read, with its version; nothing if the read was stale.
    async fn own_record(
        &self,
        key: &StoreKey,
    ) -> Result<Option<(StoreVersion, Option<MemberRecord>)>, MembershipFailed> {
        if let Some((version, record)) = self.state().membership.record.clone() {
            return Ok(Some((version, Some(record))));
        }
        self.state().store_reads += 1;
        let (version, record) = match self.shared.store.read(key).await {
            ReadOutcome::Found(found) => {
                let record =
                    MemberRecord::from_bytes(&found.value).map_err(|_| MembershipFailed)?;
                (found.version, Some(record))
            }
            ReadOutcome::Missing => (StoreVersion::MISSING, None),
            ReadOutcome::Unavailable(_) => return Err(MembershipFailed),
        };
        let mut state = self.state();
        if version < state.membership.known {
            return Ok(None);
        }
        state.membership.known = version;
        if state.membership.doubt.is_some_and(|expected| version > expected) {
            state.membership.doubt = None;
        }
        state.membership.record = record.clone().map(|record| (version, record));
        Ok(Some((version, record)))
    }

    /// Sends the journal up to `end` to those of the proposed witnesses that lack entries. All must answer,
    /// except that a witness which stays may lag if another one has all entries.
    async fn prepare_witnesses(&self, end: JournalSequence) -> bool {
        let (incarnation, snapshot, lagging) = {
            let mut state = self.state();
            let proposed = state.witnesses.proposed.clone().unwrap_or_default();
            let lacks_entries = |witness: &WitnessId, state: &mut KeeperState| {
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
            state.take_journal_answer(witness, snapshot.next, outcome);
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

impl KeeperState {
    pub(super) fn take_due_membership(&mut self) -> bool {
        let now = self.now();
        let is_wanted = self.membership.started && self.membership.wanted;
        let is_due = is_wanted && !self.membership.in_flight && self.membership.retry.is_due(now);
        self.membership.in_flight |= is_due;
        is_due
    }

    /// Asks for a round if the record is to be changed.
    pub(super) fn check_membership(&mut self) {
        let needs_round = !self.membership.registered
            || self.membership.doubt.is_some()
            || !self.forgotten_superseded().is_empty()
            || self.choose_witnesses() != self.witnesses.current;
        self.membership.wanted |= needs_round && !self.stopping;
    }

    /// Whether a record shows that this incarnation may not change it any more.
    fn learns_of_seal(&self, found: Option<&MemberRecord>) -> bool {
        let Some(record) = found else { return false };
        let is_ours = record.incarnation == self.incarnation;
        let is_superseded = record.superseded.contains_key(&self.incarnation);
        (is_ours && record.sealed) || is_superseded || (!is_ours && self.membership.registered)
    }

    /// Takes over a record that names this incarnation and that no write of ours in doubt can replace.
    /// Returns whether it needs no change.
    fn take_over_record(&mut self, found: Option<&MemberRecord>, version: StoreVersion) -> bool {
        let Some(record) = found.filter(|record| record.incarnation == self.incarnation) else {
            return false;
        };
        if self.membership.doubt.is_some_and(|expected| version <= expected) {
            return false;
        }
        self.membership.doubt = None;
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
            let keys = self.demands.values().map(|demand| demand.page.clone());
            self.page_queue.extend(keys);
        }
        self.forgotten_superseded().is_empty() && self.choose_witnesses() == self.witnesses.current
    }

    fn record_to_write(&self, found: Option<&MemberRecord>) -> MemberRecord {
        let mut superseded = found.map(|record| record.superseded.clone()).unwrap_or_default();
        if let Some(record) = found.filter(|record| record.incarnation != self.incarnation) {
            superseded.insert(record.incarnation, record.witnesses.clone());
        }
        superseded.retain(|incarnation, _| !self.membership.forgettable.contains(incarnation));
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

    fn forgotten_superseded(&self) -> Vec<IncarnationId> {
        let Some((_, record)) = &self.membership.record else { return Vec::new() };
        let forgettable = &self.membership.forgettable;
        let superseded = record.superseded.keys();
        superseded.filter(|incarnation| forgettable.contains(incarnation)).copied().collect()
    }

    /// Keeps the witnesses that work and fills up with peers: one of the same data centre and one of
    /// another, if there are such. Rendezvous hashing spreads the routers over the peers.
    ///
    /// Without any peer the list is empty. With peers, the last witness is never dropped without another in
    /// its place, since a router without a witness can't be reclaimed.
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
        let is_near = |peer: &PeerRecord| peer.data_centre == self.settings.data_centre;
        while chosen.len() < WITNESS_COUNT {
            candidates.retain(|peer| !chosen.iter().any(|other| other.witness == peer.witness));
            let has_near = chosen.iter().any(|peer| is_near(peer));
            let has_far = chosen.iter().any(|peer| !is_near(peer));
            let fits = |peer: &&&PeerRecord| if is_near(peer) { !has_near } else { !has_far };
            let Some(best) = candidates.iter().find(fits).or(candidates.first()) else { break };
            chosen.push(best);
        }
        if chosen.is_empty() && !self.peers.is_empty() {
            return self.witnesses.current.clone();
        }
        chosen.into_iter().map(|peer| peer.witness.clone()).collect()
    }
}
