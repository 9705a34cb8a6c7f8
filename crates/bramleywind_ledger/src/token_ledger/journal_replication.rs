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
                state.witnesses.copy(&witness).in_flight = false;
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
        let next = self.journal.next();
        let targets: Vec<WitnessId> = self.witnesses.targets().cloned().collect();
        let mut due = Vec::new();
        for witness in targets {
            let copy = self.witnesses.copy(&witness);
            let lacks_entries = copy.acked < next && !copy.lost;
            if lacks_entries && !copy.in_flight && copy.retry.is_due(now) {
                copy.in_flight = true;
                due.push(witness);
            }
        }
        due
    }

    /// Returns the entries that a witness lacks, or a snapshot if the journal no longer has them all.
    fn next_journal_message(&mut self, witness: &WitnessId) -> JournalMessage {
        let acked = self.witnesses.copy(witness).acked;
        match self.journal.batch(acked) {
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
        let copy = self.witnesses.copy(witness);
        match outcome {
            AppendOutcome::Accepted => {
                copy.acked = copy.acked.max(end);
                copy.answered();
                self.drop_acknowledged_settlements();
            }
            AppendOutcome::Sealed => self.abandon_incarnation(),
            AppendOutcome::Gap { expected } => {
                copy.acked = expected;
                copy.answered();
            }
            AppendOutcome::WrongRun => {
                copy.lost = true;
                copy.acked = JournalSequence(0);
                copy.failed(now, jitter);
                self.membership.update_needed = true;
            }
            AppendOutcome::Unreachable => copy.failed(now, jitter),
        }
    }
}
