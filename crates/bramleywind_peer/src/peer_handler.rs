use bramleywind_claims::{
    ClaimQuery, ClaimStatus, CrashReport, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome,
    KeyFinishRequest,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement,
    SealOutcome, SettlementOutcome,
};
use bramleywind_types::{IncarnationId, InstanceId};

use crate::{RouterStatus, wire::ConfigCopy};

/// Answers the requests of peers.
///
/// `from` is the authenticated sender. Requests of one peer start in the order in which it sent them, and one
/// that awaits does not delay the next. A handler that takes longer than the sender waits is dropped at an
/// await. Requests that name another run of this process are answered before they reach the handler.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait PeerHandler {
    /// Returns the status of this router for the next heartbeat.
    fn status(&self) -> RouterStatus;

    /// Returns the signed configuration in force, if there is one.
    async fn config_document(&self) -> Option<ConfigCopy>;

    /// Appends entries to the copy of a peer's journal.
    async fn journal_append(&self, from: &InstanceId, batch: JournalBatch) -> AppendOutcome;

    /// Replaces the copy of a peer's journal.
    async fn journal_snapshot(&self, from: &InstanceId, snapshot: JournalSnapshot)
    -> AppendOutcome;

    /// Seals an incarnation.
    async fn seal(&self, from: &InstanceId, incarnation: IncarnationId) -> SealOutcome;

    /// Lends tokens to a peer.
    async fn borrow(&self, from: &InstanceId, request: LoanRequest) -> LoanOutcome;

    /// Settles a loan that was made to a peer.
    async fn settle_loan(&self, from: &InstanceId, settlement: LoanSettlement)
    -> SettlementOutcome;

    /// Handles the claim of a peer that starts an idempotent request.
    async fn key_claim(&self, from: &InstanceId, request: KeyClaimRequest) -> KeyClaimOutcome;

    /// Records that an idempotent request has ended at a peer.
    async fn key_finish(&self, from: &InstanceId, request: KeyFinishRequest) -> KeyFinishOutcome;

    /// Answers a peer's query about a claim.
    async fn claim_query(&self, from: &InstanceId, query: ClaimQuery) -> ClaimStatus;

    /// Records a report of a peer about a request that crashes endpoints.
    async fn crash_report(&self, from: &InstanceId, report: CrashReport);
}
