//! Replicates the journal to its witnesses. Each witness gets one message at a time, with all entries that
//! were added since the last one.

use bramleywind_store::Store;
use bramleywind_types::JournalSequence;

use super::{TokenLedger, ledger_state::LedgerState};
use crate::{AppendOutcome, JournalBatch, JournalLink, JournalSnapshot, WitnessId};

/// The next message to a witness.
enum JournalMessage {
    Append(JournalBatch),
    Snapshot(JournalSnapshot),
}

impl<S: Store, L: JournalLink> TokenLedger<S, L> {
    /// Sends one witness the entries that it lacks, or a snapshot if they are no longer kept.
    pub(super) async fn send_journal(&self, witness: WitnessId) {
        let incarnation = self.incarnation();
        let message = self.state().next_journal_message(&witness);
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
            // A response is only valid for the incarnation that sent the message.
            if state.incarnation == incarnation {
                state.witnesses.progress_mut(&witness).in_flight = false;
                state.handle_append_outcome(&witness, end, outcome);
            }
        }
        self.notify_all();
    }
}

impl LedgerState {
    /// Returns the witnesses that lack entries and are due, and marks them as in flight.
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

    /// Returns the entries that a witness lacks, or a snapshot if the journal no longer has them all.
    fn next_journal_message(&mut self, witness: &WitnessId) -> JournalMessage {
        let acked = self.witnesses.progress_mut(witness).acked;
        match self.journal.batch_from(acked) {
            Some(batch) => JournalMessage::Append(batch),
            None => JournalMessage::Snapshot(self.journal.snapshot().clone()),
        }
    }

    /// Handles the outcome of a message to a witness that ended before the entry `end`.
    pub(super) fn handle_append_outcome(
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
                self.drop_acknowledged_settlements();
            }
            AppendOutcome::Sealed => self.abandon_incarnation(),
            AppendOutcome::Gap { expected } => {
                progress.acked = expected;
                progress.record_success();
            }
            AppendOutcome::WrongRun => {
                progress.is_lost = true;
                progress.acked = JournalSequence(0);
                progress.record_failure(now, jitter);
                self.membership.update_needed = true;
            }
            AppendOutcome::Unreachable => progress.record_failure(now, jitter),
        }
    }
}
