//! Sends the journal to its witnesses: one message at a time for each, which carries all entries that came
//! up meanwhile.

use bramleywind_store::Store;
use bramleywind_types::JournalSequence;

use super::{FundsKeeper, keeper_state::KeeperState};
use crate::{AppendOutcome, JournalBatch, JournalLink, JournalSnapshot, WitnessId};

/// What a witness is sent next.
enum JournalMessage {
    Append(JournalBatch),
    Snapshot(JournalSnapshot),
}

impl<S: Store, L: JournalLink> FundsKeeper<S, L> {
    /// Brings one witness's copy up to date.
    pub(super) async fn send_journal(&self, witness: WitnessId) {
        let incarnation = self.incarnation();
        let message = self.state().next_message(&witness);
        let (end, outcome) = match message {
            JournalMessage::Append(batch) => {
                let end = JournalSequence(batch.first.0 + batch.entries.len() as u64);
                (end, self.shared.link.append(&witness, &batch).await)
            }
            JournalMessage::Snapshot(snapshot) => {
                (snapshot.next, self.shared.link.snapshot(&witness, &snapshot).await)
            }
        };
        {
            let mut state = self.state();
            // The answer belongs to the incarnation that asked.
            if state.incarnation == incarnation {
                state.witnesses.progress_mut(&witness).in_flight = false;
                state.take_journal_answer(&witness, end, outcome);
            }
        }
        self.notify_all();
    }
}

impl KeeperState {
    /// The witnesses that lack entries and may be tried.
    pub(super) fn take_due_witnesses(&mut self) -> Vec<WitnessId> {
        let now = self.now();
        let next = self.journal.next_sequence();
        let targets: Vec<WitnessId> = self.witnesses.targets().cloned().collect();
        let mut due = Vec::new();
        for witness in targets {
            let progress = self.witnesses.progress_mut(&witness);
            let lacks_entries = progress.acked < next && !progress.is_lost;
            if lacks_entries && !progress.in_flight && progress.retry.is_due(now) {
                progress.in_flight = true;
                due.push(witness);
            }
        }
        due
    }

    fn next_message(&mut self, witness: &WitnessId) -> JournalMessage {
        let acked = self.witnesses.progress_mut(witness).acked;
        match self.journal.batch_from(acked) {
            Some(batch) => JournalMessage::Append(batch),
            None => JournalMessage::Snapshot(self.journal.snapshot().clone()),
        }
    }

    pub(super) fn take_journal_answer(
        &mut self,
        witness: &WitnessId,
        end: JournalSequence,
        outcome: AppendOutcome,
    ) {
        let (now, jitter) = (self.now(), self.jitter());
        let progress = self.witnesses.progress_mut(witness);
        match outcome {
            AppendOutcome::Accepted => {
                progress.acked = progress.acked.max(end);
                progress.record_success();
                self.forget_covered_settlements();
            }
            AppendOutcome::Sealed => self.become_sealed(),
            AppendOutcome::Gap { expected } => {
                progress.acked = expected;
                progress.record_success();
            }
            AppendOutcome::WrongRun => {
                progress.is_lost = true;
                progress.acked = JournalSequence(0);
                progress.record_failure(now, jitter);
                self.membership.wanted = true;
            }
            AppendOutcome::Unreachable => progress.record_failure(now, jitter),
        }
    }
}
