//! The witnesses of the simulated fleet, and how tokens are returned.

use std::time::Duration;

use bramleywind_gateway::{
    funds::{SpentBound, plan_takeover},
    platform_api::PresenceOutcome,
    witness::{
        SilentHolder, SpendCeilings, WitnessClaim, WitnessRecord, WitnessReply, WitnessRequest,
    },
};
use bramleywind_types::{IncarnationId, InstanceId};
use rand::Rng;

use super::{GATEWAYS, StoredPresence, TakeoverRule, World};

/// How long after its start a process looks for records that name its predecessor as their witness.
const ORPHAN_DELAY: Duration = Duration::from_secs(5);

impl World {
    /// Returns whether two processes reach each other.
    pub(super) fn is_connected(&self, one: usize, other: usize) -> bool {
        !self.processes[one].is_cut_off && !self.processes[other].is_cut_off
    }

    /// Sends a message to a witness. The message or its answer may be lost.
    fn ask_witness(
        &mut self,
        index: usize,
        witness: &WitnessRecord,
        holder: IncarnationId,
        claim: WitnessClaim,
    ) -> Option<WitnessReply> {
        let roll = if self.is_calm { 2 } else { self.random.random_range(0..20) };
        let other =
            (0..GATEWAYS).find(|other| self.processes[*other].instance == witness.instance)?;
        if roll == 0 || other == index || !self.is_connected(index, other) {
            return None;
        }
        let instance = self.processes[index].instance.clone();
        let request = WitnessRequest { witness: witness.incarnation, instance, holder, claim };
        let now = self.instant();
        let process = &mut self.processes[other];
        if process.incarnation != witness.incarnation {
            return Some(WitnessReply::Refused);
        }
        let reply = process.registry.answer(&request, now);
        (roll != 1).then_some(reply)
    }

    fn confirms(&mut self, index: usize, witness: &WitnessRecord, claim: WitnessClaim) -> bool {
        let holder = self.processes[index].incarnation;
        self.ask_witness(index, witness, holder, claim) == Some(WitnessReply::Confirmed)
    }

    pub(super) fn raise_ceilings(&mut self, index: usize) {
        let now = self.instant();
        let wanted = self.processes[index].ledger.wanted_ceilings(now);
        let Some(witnesses) = self.processes[index].link.confirming() else { return };
        let mut is_confirmed = true;
        for witness in &witnesses {
            is_confirmed &= self.confirms(index, witness, WitnessClaim::Raise(wanted.clone()));
        }
        let process = &mut self.processes[index];
        process.link.record_answer(is_confirmed);
        if is_confirmed {
            process.ledger.raise_ceilings(&wanted);
        }
    }

    /// Returns the witness to name in the next presence record.
    fn choose_witness(&mut self, index: usize) -> Option<WitnessRecord> {
        let now = self.instant();
        let process = &mut self.processes[index];
        let named = process.link.witness().cloned();
        if named.is_some() && !process.link.needs_witness() {
            return named;
        }
        let ceilings = process.ledger.begin_witness(now);
        for other in (index + 1..index + GATEWAYS).map(|other| other % GATEWAYS) {
            let other = &self.processes[other];
            let candidate = WitnessRecord {
                instance: other.instance.clone(),
                incarnation: other.incarnation,
                peer_address: ([127, 0, 0, 1], 7_340).into(),
            };
            if self.confirms(index, &candidate, WitnessClaim::Begin(ceilings.clone())) {
                return Some(candidate);
            }
        }
        None
    }

    pub(super) fn write_presence(&mut self, index: usize) {
        if !self.reaches_store(index) || !self.processes[index].ledger.can_write_presence() {
            return;
        }
        let instance = self.processes[index].instance.clone();
        let expected = match self.processes[index].link.version() {
            Some(version) => version,
            None => {
                self.adopt_stored_record(index);
                return;
            }
        };
        let witness = self.choose_witness(index);
        let (now, written_at) = (self.instant(), self.now);
        let process = &mut self.processes[index];
        process.ledger.record_presence(now);
        process.link.begin_write(witness.clone());
        let record = StoredPresence {
            incarnation: process.incarnation,
            written_at,
            witness: witness.clone(),
            is_closed: false,
            version: expected,
        };
        match self.commit_presence(&instance, record, expected, true) {
            PresenceOutcome::Written(version) => {
                let entry = self.entry();
                let process = &mut self.processes[index];
                process.link.finish_write(witness, version);
                process.ledger.confirm_presence();
                if process.link.is_replaced() {
                    process.ledger.apply_entries(vec![entry], Some(now));
                    process.link.mark_grants_read();
                }
                if process.link.has_no_witness() {
                    process.ledger.end_witness();
                }
            }
            PresenceOutcome::Conflict => self.adopt_stored_record(index),
            PresenceOutcome::NotWritten(_) | PresenceOutcome::Unknown(_) => {}
        }
    }

    fn adopt_stored_record(&mut self, index: usize) {
        let instance = self.processes[index].instance.clone();
        let (stored, version) =
            (self.presences.get(&instance).cloned(), self.presence_version(&instance));
        let process = &mut self.processes[index];
        match stored {
            Some(record) if record.incarnation == process.incarnation && !record.is_closed => {
                process.link.finish_write(record.witness, version);
            }
            _ => process.link.adopt_version(version),
        }
    }

    /// Returns the tokens of the earlier process of an instance.
    pub(super) fn take_over(&mut self, index: usize, ended: IncarnationId) {
        let instance = self.processes[index].instance.clone();
        let Some(record) = self.presences.get(&instance).cloned() else { return };
        if record.incarnation != ended {
            return;
        }
        let reply = record
            .witness
            .clone()
            .and_then(|witness| self.ask_witness(index, &witness, ended, WitnessClaim::Ended));
        let bound = match reply {
            Some(WitnessReply::Closed(ceilings)) => self.ceilings_bound(ceilings),
            _ => self.age_bound(self.now - record.written_at),
        };
        self.close_grants(&instance, &record, &bound);
    }

    fn ceilings_bound(&self, ceilings: SpendCeilings) -> SpentBound {
        match self.rule {
            TakeoverRule::IgnoresCeilings => SpentBound::Ceilings(SpendCeilings::new()),
            _ => SpentBound::Ceilings(ceilings),
        }
    }

    fn age_bound(&self, age: Duration) -> SpentBound {
        match self.rule {
            TakeoverRule::IgnoresAge => SpentBound::Age(Duration::ZERO),
            _ => SpentBound::Age(age),
        }
    }

    /// Returns tokens if the presence record is unchanged.
    fn close_grants(&mut self, instance: &InstanceId, record: &StoredPresence, bound: &SpentBound) {
        if self.presence_version(instance) != record.version {
            return;
        }
        for change in plan_takeover(record.incarnation, vec![self.entry()], bound) {
            self.write(change.record);
        }
    }

    /// Returns the tokens of processes that this one witnesses and that have fallen silent.
    pub(super) fn return_silent(&mut self, index: usize) {
        if !self.reaches_store(index) {
            return;
        }
        let (now, own) = (self.instant(), self.processes[index].incarnation);
        let names_own = |record: &StoredPresence| {
            record.witness.as_ref().is_some_and(|witness| witness.incarnation == own)
        };
        let stored: Vec<_> = self
            .presences
            .iter()
            .filter(|(_, record)| names_own(record))
            .map(|(instance, record)| (instance.clone(), record.clone()))
            .collect();
        let is_witnessed = |holder| stored.iter().any(|(_, record)| record.incarnation == holder);
        let silent = self.processes[index].registry.close_silent(is_witnessed, now);
        for SilentHolder { incarnation, ceilings } in silent {
            let stored = stored.iter().find(|(_, record)| record.incarnation == incarnation);
            if let Some((instance, record)) = stored {
                let bound = self.ceilings_bound(ceilings);
                self.return_tokens(index, instance, record.clone(), &bound);
            }
        }
    }

    /// Returns the tokens of processes whose witness was the earlier process of this instance.
    pub(super) fn return_orphans(&mut self, index: usize) {
        let process = &self.processes[index];
        let (started_at, own) = (process.started_at, process.incarnation);
        if !self.reaches_store(index) || self.now < started_at + ORPHAN_DELAY {
            return;
        }
        let is_orphan = |record: &StoredPresence| {
            record.witness.as_ref().is_some_and(|witness| {
                witness.instance == process.instance && witness.incarnation != own
            })
        };
        let orphans: Vec<_> = self
            .presences
            .iter()
            .filter(|(instance, record)| **instance != process.instance && is_orphan(record))
            .map(|(instance, record)| (instance.clone(), record.clone()))
            .collect();
        for (instance, record) in orphans {
            // A record that is younger than this process was written by a process that named its predecessor too late.
            let bound = self.age_bound(started_at.saturating_sub(record.written_at));
            self.return_tokens(index, &instance, record, &bound);
        }
    }

    fn return_tokens(
        &mut self,
        index: usize,
        instance: &InstanceId,
        mut record: StoredPresence,
        bound: &SpentBound,
    ) {
        if !record.is_closed && self.rule != TakeoverRule::LeavesRecordOpen {
            let closed = StoredPresence { is_closed: true, ..record.clone() };
            let reaches_store = self.reaches_store(index);
            let outcome = self.commit_presence(instance, closed, record.version, reaches_store);
            let PresenceOutcome::Written(version) = outcome else { return };
            record.version = version;
        }
        self.close_grants(instance, &record, bound);
    }
}
