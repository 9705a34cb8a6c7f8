use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bramleywind_types::JournalSequence;

use crate::{WitnessId, retry_delay::RetryDelay};

/// How long a witness may fail to answer before it is replaced: the time after which a silent peer is dead.
const REPLACE_AFTER: Duration = Duration::from_secs(3);

/// Which witnesses are registered, and how much of the journal each has acknowledged.
#[derive(Debug, Default)]
pub(crate) struct WitnessTracker {
    /// The witnesses of the member record, as last known.
    pub(crate) current: Vec<WitnessId>,
    /// The witnesses that a write in progress, or one in doubt, puts in their place.
    pub(crate) proposed: Option<Vec<WitnessId>>,
    pub(crate) copies: BTreeMap<WitnessId, WitnessProgress>,
}

/// One witness's copy.
#[derive(Debug, Default)]
pub(crate) struct WitnessProgress {
    /// The sequence number after the last acknowledged entry.
    pub(crate) acked: JournalSequence,
    /// Whether the witness has answered to a snapshot or an append at all.
    pub(crate) opened: bool,
    pub(crate) in_flight: bool,
    pub(crate) retry: RetryDelay,
    pub(crate) failing_since: Option<Instant>,
    /// The witness did not answer when it was proposed, so another is chosen until it is tried again.
    pub(crate) missed_proposal: bool,
    /// The process run has ended.
    pub(crate) lost: bool,
}

impl WitnessTracker {
    /// Whether all entries before `end` survive a reclaim, whichever member record is in force.
    ///
    /// A reclaimer takes the union over all witnesses of one record, so one of them must have acknowledged
    /// the entries. While a change of the record is in doubt, that must hold for both records. A record
    /// without witnesses needs none, because it can't be sealed (rule R2).
    pub(crate) fn cover(&self, end: JournalSequence) -> bool {
        let covers = |witnesses: &[WitnessId]| {
            let has_all = |witness: &WitnessId| {
                self.copies.get(witness).is_some_and(|copy| copy.acked >= end)
            };
            witnesses.is_empty() || witnesses.iter().any(has_all)
        };
        covers(&self.current) && self.proposed.as_deref().is_none_or(covers)
    }

    /// The witnesses that entries are sent to.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &WitnessId> {
        let proposed = self.proposed.iter().flatten();
        self.current.iter().chain(proposed.filter(|witness| !self.current.contains(witness)))
    }

    pub(crate) fn is_usable(&self, witness: &WitnessId, now: Instant) -> bool {
        let is_failing = |copy: &WitnessProgress| {
            copy.failing_since.is_some_and(|since| now.duration_since(since) >= REPLACE_AFTER)
        };
        self.copies.get(witness).is_none_or(|copy| !copy.lost && !is_failing(copy))
    }

    /// Whether a peer may become a witness now. One that did not answer to an offer is passed over until
    /// the time has gone by after which a current witness would be replaced.
    pub(crate) fn is_eligible(&self, witness: &WitnessId, now: Instant) -> bool {
        let is_passed_over = |copy: &WitnessProgress| {
            let offered_lately = |since| now.duration_since(since) < REPLACE_AFTER;
            copy.lost || (copy.missed_proposal && copy.failing_since.is_some_and(offered_lately))
        };
        !self.copies.get(witness).is_some_and(is_passed_over)
    }

    pub(crate) fn copy(&mut self, witness: &WitnessId) -> &mut WitnessProgress {
        self.copies.entry(witness.clone()).or_default()
    }
}

impl WitnessProgress {
    pub(crate) fn answered(&mut self) {
        self.opened = true;
        self.failing_since = None;
        self.missed_proposal = false;
        self.retry.succeeded();
    }

    pub(crate) fn failed(&mut self, now: Instant, jitter: f64) {
        self.failing_since.get_or_insert(now);
        self.retry.failed(now, jitter);
    }
}
