use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId, JournalSequence};

use crate::{
    JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome,
    WitnessId,
};

/// What an append to a witness's copy of a journal came to.
#[domain_type]
#[derive(Copy)]
pub enum AppendOutcome {
    /// The witness holds all entries of the batch.
    Accepted,
    /// The incarnation is sealed: the witness refuses all further entries.
    Sealed,
    /// The witness lacks entries before the batch, and took none of it.
    Gap {
        /// The sequence number that it expects next.
        expected: JournalSequence,
    },
    /// The process that answered is not the run that was asked for.
    WrongRun,
    /// There was no answer; the witness may hold the entries.
    Unreachable,
}

/// What a seal of an incarnation at a witness came to.
#[domain_type]
pub enum SealOutcome {
    /// The incarnation is sealed, and this is all the witness acknowledged.
    Sealed(JournalSnapshot),
    /// The process that answered is not the run that was asked for, so the journal is lost.
    WrongRun,
    /// There was no answer.
    Unreachable,
}

/// Carries journal and loan messages to other routers. The peer connections implement it, and fakes in tests.
///
/// Each call ends by a deadline of the implementation's.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait JournalLink {
    /// Adds entries to a witness's copy of this router's journal.
    async fn append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome;

    /// Replaces a witness's copy of this router's journal, as the first message to a new witness.
    async fn snapshot(&self, witness: &WitnessId, snapshot: &JournalSnapshot) -> AppendOutcome;

    /// Seals an incarnation at one of its witnesses. Also seals one that the witness has never heard of.
    async fn seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome;

    /// Asks another router to reserve for a request of this one.
    async fn borrow(&self, lender: &InstanceId, request: &LoanRequest) -> LoanOutcome;

    /// Tells a lender what was billed.
    async fn settle_loan(
        &self,
        lender: &InstanceId,
        settlement: &LoanSettlement,
    ) -> SettlementOutcome;
}
