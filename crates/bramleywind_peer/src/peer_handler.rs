use bramleywind_claims::{
    ClaimQuery, ClaimStatus, KeyClaimOutcome, KeyClaimRequest, KeyFinishOutcome, KeyFinishRequest,
    StrikeReport,
};
use bramleywind_ledger::{
    AppendOutcome, JournalBatch, JournalSnapshot, LoanOutcome, LoanRequest, LoanSettlement,
    SealOutcome, SettlementOutcome,
};
use bramleywind_types::{IncarnationId, InstanceId};

use crate::{RouterStatus, wire::ConfigCopy};

/// How a router answers the requests of its peers.
///
/// `from` is the authenticated sender. Requests of one peer begin in the order in which it sent them; one that
/// awaits does not hold up the next. A handler that takes longer than the sender waits is dropped at an await.
/// Requests that name another run of this process are answered before they get here.
#[allow(
    async_fn_in_trait,
    reason = "the runtime is single-threaded, so no caller needs a `Send` bound"
)]
pub trait PeerHandler {
    /// What the next heartbeat says about this router.
    fn status(&self) -> RouterStatus;

    /// The signed configuration in force, if there is one.
    async fn config_document(&self) -> Option<ConfigCopy>;

    /// Adds entries to the copy of a peer's journal.
    async fn journal_append(&self, from: &InstanceId, batch: JournalBatch) -> AppendOutcome;

    /// Replaces the copy of a peer's journal.
    async fn journal_snapshot(&self, from: &InstanceId, snapshot: JournalSnapshot)
    -> AppendOutcome;

    /// Seals an incarnation.
    async fn seal(&self, from: &InstanceId, incarnation: IncarnationId) -> SealOutcome;

    /// Lends to a peer.
    async fn borrow(&self, from: &InstanceId, request: LoanRequest) -> LoanOutcome;

    /// Settles a loan of a peer.
    async fn settle_loan(&self, from: &InstanceId, settlement: LoanSettlement)
    -> SettlementOutcome;

    /// An idempotent request begins at a peer.
    async fn key_claim(&self, from: &InstanceId, request: KeyClaimRequest) -> KeyClaimOutcome;

    /// An idempotent request has ended at a peer.
    async fn key_finish(&self, from: &InstanceId, request: KeyFinishRequest) -> KeyFinishOutcome;

    /// A peer asks about a claim.
    async fn claim_query(&self, from: &InstanceId, query: ClaimQuery) -> ClaimStatus;

    /// A peer tells of a request that crashes endpoints.
    async fn strike(&self, from: &InstanceId, report: StrikeReport);
}
