use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_types::JournalSequence;

use crate::{WitnessId, retry_delay::RetryDelay};

/// How long a witness may fail to answer before it is replaced. A silent peer is considered dead after the
/// same time.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Tracks the witnesses of this router's journal and how much of it each one has acknowledged.
#[derive(Debug, Default)]
pub(crate) struct WitnessTracker {
    /// The witnesses in the last known member record.
    pub(crate) current: Vec<WitnessId>,
    /// The replacement list of a member record write that is in progress or whose outcome is unknown.
    pub(crate) proposed: Option<Vec<WitnessId>>,
    pub(crate) progress: BTreeMap<WitnessId, WitnessProgress>,
}

/// The replication state of one witness's copy.
#[derive(Debug, Default)]
pub(crate) struct WitnessProgress {
    /// The sequence number after the last acknowledged entry.
    pub(crate) acked: JournalSequence,
    /// Whether the witness has ever answered a snapshot or an append.
    pub(crate) has_answered: bool,
    pub(crate) in_flight: bool,
    pub(crate) retry: RetryDelay,
    pub(crate) failing_since: Option<Instant>,
    /// Whether the witness failed to answer when it was proposed. Others are preferred until it may be
    /// tried again.
    pub(crate) missed_proposal: bool,
    /// Whether the witness's process run has ended, which loses its copy.
    pub(crate) is_lost: bool,
}

impl WitnessTracker {
    /// Returns whether a reclaim would recover all entries before `end`, whichever member record is in force.
    ///
    /// A reclaimer takes the union of the journals of all witnesses in one record, so it is enough that one
    /// of them has acknowledged the entries. While a change of the record is in doubt, this must hold for
    /// both records. An incarnation without witnesses can't be sealed (rule R2), so it needs no copies.
    pub(crate) fn is_replicated(&self, end: JournalSequence) -> bool {
        let is_held_by = |witnesses: &[WitnessId]| {
            let has_all = |witness: &WitnessId| {
                self.progress.get(witness).is_some_and(|progress| progress.acked >= end)
            };
            witnesses.is_empty() || witnesses.iter().any(has_all)
        };
        is_held_by(&self.current) && self.proposed.as_deref().is_none_or(is_held_by)
    }

    /// Returns the current and proposed witnesses, which all receive new entries.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &WitnessId> {
        let proposed = self.proposed.iter().flatten();
        self.current.iter().chain(proposed.filter(|witness| !self.current.contains(witness)))
    }

    /// Returns whether a current witness may stay: its process run has not ended and it has not failed to
    /// answer for too long.
    pub(crate) fn is_usable(&self, witness: &WitnessId, now: Instant) -> bool {
        let is_failing = |progress: &WitnessProgress| {
            progress.failing_since.is_some_and(|since| now.duration_since(since) >= WITNESS_TIMEOUT)
        };
        self.progress.get(witness).is_none_or(|progress| !progress.is_lost && !is_failing(progress))
    }

    /// Returns whether a peer may be proposed as a witness now. A peer that missed its proposal is skipped
    /// for as long as a current witness may fail to answer.
    pub(crate) fn is_eligible(&self, witness: &WitnessId, now: Instant) -> bool {
        let is_excluded = |progress: &WitnessProgress| {
            let is_recent = |since| now.duration_since(since) < WITNESS_TIMEOUT;
            progress.is_lost
                || (progress.missed_proposal && progress.failing_since.is_some_and(is_recent))
        };
        !self.progress.get(witness).is_some_and(is_excluded)
    }

    /// Returns the progress of a witness, and starts to track it if it is new.
    pub(crate) fn progress_mut(&mut self, witness: &WitnessId) -> &mut WitnessProgress {
        self.progress.entry(witness.clone()).or_default()
    }
}

impl WitnessProgress {
    pub(crate) fn record_success(&mut self) {
        self.has_answered = true;
        self.failing_since = None;
        self.missed_proposal = false;
        self.retry.record_success();
    }

    pub(crate) fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failing_since.get_or_insert(now);
        self.retry.record_failure(now, jitter);
    }
}
