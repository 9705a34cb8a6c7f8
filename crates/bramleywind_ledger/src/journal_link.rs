use bramleywind_macros::domain_type;
use bramleywind_types::{IncarnationId, InstanceId, JournalSequence};

use crate::{
    JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement, SettlementOutcome,
    WitnessId,
};

/// The outcome of an append or a snapshot to a witness's copy of a journal.
#[domain_type]
#[derive(Copy)]
pub enum AppendOutcome {
    /// The witness holds all entries of the message.
    Accepted,
    /// The incarnation is sealed, so the witness rejects all further entries.
    Sealed,
    /// The witness lacks entries before the batch and stored none of it.
    Gap {
        /// The sequence number that the witness expects next.
        expected: JournalSequence,
    },
    /// The answer came from another process run than the one addressed.
    WrongRun,
    /// No answer arrived, or the witness is at a limit. The witness may hold the entries.
    Unreachable,
}

/// The outcome of sealing an incarnation at a witness.
#[domain_type]
pub enum SealOutcome {
    /// The incarnation is sealed. The snapshot holds all entries that the witness acknowledged.
    Sealed(JournalSnapshot),
    /// The answer came from another process run than the one addressed, so the journal is lost.
    WrongRun,
    /// No answer arrived, or the witness is at a limit.
    Unreachable,
}

/// Sends journal and loan messages to other routers. Implemented by the peer connections, and by fakes in
/// tests.
///
/// The implementation sets the deadline of each call.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait JournalLink {
    /// Appends entries to a witness's copy of this router's journal.
    async fn append(&self, witness: &WitnessId, batch: &JournalBatch) -> AppendOutcome;

    /// Replaces a witness's copy of this router's journal. This is the first message to a new witness.
    async fn snapshot(&self, witness: &WitnessId, snapshot: &JournalSnapshot) -> AppendOutcome;

    /// Seals an incarnation at one of its witnesses, even if the witness has no entries of it.
    async fn seal(&self, witness: &WitnessId, incarnation: IncarnationId) -> SealOutcome;

    /// Asks another router to reserve tokens from its slice for a request of this router.
    async fn borrow(&self, lender: &InstanceId, request: &LoanRequest) -> LoanOutcome;

    /// Tells a lender what was billed against its loan.
    async fn settle_loan(
        &self,
        lender: &InstanceId,
        settlement: &LoanSettlement,
    ) -> SettlementOutcome;
}
